package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

// Directory holds the current snapshot and the configuration lease.
type Directory struct {
	current atomic.Pointer[Snapshot]
	// leaseEnd is the end of the lease in nanoseconds after startTime.
	leaseEnd  atomic.Int64
	startTime time.Time

	mu          sync.Mutex
	builder     *Builder
	subscribers map[*Subscription]struct{}
}

// Subscription notifies a subscriber of new snapshots.
type Subscription struct {
	// Changed has a buffered value if at least one new snapshot was stored since the last receive.
	Changed <-chan struct{}

	directory *Directory
	signal    chan struct{}
}

// New returns a directory with an empty snapshot and no lease.
func New() *Directory {
	d := &Directory{startTime: time.Now(), builder: NewBuilder(), subscribers: make(map[*Subscription]struct{})}
	d.current.Store(d.builder.Snapshot())
	return d
}

// Snapshot returns the current snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Apply applies the delta and the topology of a renewal in one new snapshot and reports whether either of them was newer.
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

// ExtendLease extends the configuration lease. An end before the current one has no effect.
func (d *Directory) ExtendLease(until time.Time) {
	end := int64(until.Sub(d.startTime))
	for {
		old := d.leaseEnd.Load()
		if end <= old || d.leaseEnd.CompareAndSwap(old, end) {
			return
		}
	}
}

// Leased reports whether the configuration lease is valid. Without it, requests with a key are rejected unless their route allows
// them.
func (d *Directory) Leased(now time.Time) bool {
	return int64(now.Sub(d.startTime)) < d.leaseEnd.Load()
}

// LeaseEnd returns the end of the configuration lease.
func (d *Directory) LeaseEnd() time.Time { return d.startTime.Add(time.Duration(d.leaseEnd.Load())) }

// Subscribe returns a subscription, which the caller must close.
func (d *Directory) Subscribe() *Subscription {
	signal := make(chan struct{}, 1)
	s := &Subscription{Changed: signal, directory: d, signal: signal}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers[s] = struct{}{}
	return s
}

// Watch returns the channel of a new subscription and a function that closes the subscription.
func (d *Directory) Watch() (changed <-chan struct{}, stop func()) {
	s := d.Subscribe()
	return s.Changed, s.Close
}

// Limits returns the quota of a workspace, or false if the workspace does not exist.
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
