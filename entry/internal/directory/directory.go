package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

// Directory holds the newest snapshot and the configuration lease.
type Directory struct {
	current atomic.Pointer[Snapshot]
	lease   atomic.Int64
	origin  time.Time

	mu          sync.Mutex
	builder     *Builder
	subscribers map[*Subscription]struct{}
}

// Subscription is told of new snapshots.
type Subscription struct {
	// Changed holds one value when at least one new snapshot has come since it was last received from.
	Changed <-chan struct{}

	directory *Directory
	signal    chan struct{}
}

// New returns a directory that knows nothing and holds no lease.
func New() *Directory {
	d := &Directory{origin: time.Now(), builder: NewBuilder(), subscribers: make(map[*Subscription]struct{})}
	d.current.Store(d.builder.Snapshot())
	return d
}

// Snapshot returns the newest snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Apply takes in what a renewal brought, both parts in one new snapshot, and reports whether anything was newer.
func (d *Directory) Apply(delta *inventory.Delta, topology *protocol.Topology) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := delta != nil && d.builder.ApplyDelta(*delta)
	if topology != nil && d.builder.ApplyTopology(topology) {
		changed = true
	}
	if !changed {
		return false
	}
	d.current.Store(d.builder.Snapshot())
	for s := range d.subscribers {
		select {
		case s.signal <- struct{}{}:
		default:
		}
	}
	return true
}

// ExtendLease lengthens the configuration lease; an earlier end than the present one changes nothing.
func (d *Directory) ExtendLease(until time.Time) {
	end := int64(until.Sub(d.origin))
	for {
		old := d.lease.Load()
		if end <= old || d.lease.CompareAndSwap(old, end) {
			return
		}
	}
}

// Leased tells whether the configuration lease holds; without it keyed requests are refused unless their route says otherwise.
func (d *Directory) Leased(now time.Time) bool { return int64(now.Sub(d.origin)) < d.lease.Load() }

// LeaseEnd returns the end of the configuration lease.
func (d *Directory) LeaseEnd() time.Time { return d.origin.Add(time.Duration(d.lease.Load())) }

// Subscribe returns a subscription that lasts until it is closed.
func (d *Directory) Subscribe() *Subscription {
	signal := make(chan struct{}, 1)
	s := &Subscription{Changed: signal, directory: d, signal: signal}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers[s] = struct{}{}
	return s
}

// Watch returns the channel of a new subscription and what ends it.
func (d *Directory) Watch() (changed <-chan struct{}, stop func()) {
	s := d.Subscribe()
	return s.Changed, s.Close
}

// Limits returns the quota of a workspace; false means that it does not exist.
func (d *Directory) Limits(workspace inventory.WorkspaceName) (quota.Limits, bool) {
	w := d.Snapshot().Workspace(workspace)
	if w == nil {
		return quota.Limits{}, false
	}
	return quota.Limits{Rate: w.Rate, Burst: w.Burst}, true
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.directory.mu.Lock()
	defer s.directory.mu.Unlock()
	delete(s.directory.subscribers, s)
}
