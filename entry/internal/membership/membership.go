package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/link"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"

	"lentilwind.dev/entry/internal/directory"
)

// Times of the contact with control.
const (
	// renewWait is how long control may hold a reply back for a change.
	renewWait = 500 * time.Millisecond
	// renewTimeout is the longest wait for one answer beyond renewWait.
	renewTimeout    = 500 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
	reportPeriod    = 50 * time.Millisecond
	firstBackOff    = 20 * time.Millisecond
	lastBackOff     = 500 * time.Millisecond
)

// maxDrift is the most by which the clocks of control and of an entry differ, as a fraction of the elapsed time.
const maxDrift = 0.05

// Config is what the contact with control needs.
type Config struct {
	Name        inventory.InstanceName
	Incarnation protocol.Incarnation
	DataCentre  inventory.DataCentre
	// Address is where the entry takes messages of other processes.
	Address   netip.AddrPort
	Endpoint  *link.Endpoint
	Leader    *LeaderClient
	Directory *directory.Directory
	Log       *log.Logger
	// Events may be nil.
	Events *events.Recorder
	// Suspects returns the servers that give no answer.
	Suspects func(now time.Time) []protocol.Suspicion
	// Running returns the groups with transactions of an older term than the directory names; it may be nil.
	Running func() []group.ID
}

// Membership renews the entry's configuration lease and reports to control.
type Membership struct {
	cfg      Config
	draining atomic.Bool
	leased   bool
	// hurried means that the last renewal was broken off, so the next one asks for an answer at once.
	hurried bool
}

// New returns the membership of an entry; it begins with Run.
func New(cfg Config) *Membership { return &Membership{cfg: cfg} }

// Drain reports from now on that the entry gets no new work.
func (m *Membership) Drain() { m.draining.Store(true) }

// Announce passes a backend server's announcement on to the leader.
func (m *Membership) Announce(ctx context.Context, announcement *protocol.Announcement) (protocol.AnnounceReply, error) {
	var reply protocol.AnnounceReply
	err := m.cfg.Leader.Call(ctx, announceTimeout, protocol.KindAnnounce, announcement, &reply)
	return reply, err
}

// Run renews the lease until the context ends.
func (m *Membership) Run(ctx context.Context) error {
	backOff := firstBackOff
	for ctx.Err() == nil {
		if m.renew(ctx) {
			backOff = firstBackOff
			continue
		}
		m.noteLease()
		pause(ctx, backOff/2+rand.N(backOff/2))
		backOff = min(2*backOff, lastBackOff)
	}
	return nil
}

func pause(ctx context.Context, delay time.Duration) {
	clock := time.NewTimer(delay)
	defer clock.Stop()
	select {
	case <-ctx.Done():
	case <-clock.C:
	}
}

// renew asks for one renewal, breaks it off when there is something new to report, and reports whether the contact works.
func (m *Membership) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*(renewWait+renewTimeout))
	defer cancel()
	report := m.report(time.Now())
	snapshot := m.cfg.Directory.Snapshot()
	request := protocol.RenewRequest{
		Entries:   []protocol.EntryReport{report},
		Inventory: snapshot.Revision,
		Topology:  snapshot.Topology,
		Wait:      renewWait,
	}
	if m.hurried {
		request.Wait = 0
	}
	broken := m.breakOff(ctx, cancel, &report, request.Wait > 0)
	var reply protocol.RenewReply
	sent := time.Now()
	err := m.cfg.Leader.Call(ctx, renewWait+renewTimeout, protocol.KindRenew, &request, &reply)
	cancel()
	m.hurried = <-broken && err != nil
	if m.hurried {
		return true
	}
	if err != nil {
		m.cfg.Log.Debug().Err(err).Msg("no renewal of the configuration lease")
		return false
	}
	m.receive(&reply, sent)
	return true
}

// receive applies what has changed and lengthens the lease if the entry then has the newest inventory.
func (m *Membership) receive(reply *protocol.RenewReply, sent time.Time) {
	before := m.cfg.Directory.Snapshot()
	m.cfg.Directory.Apply(reply.Delta, reply.Topology)
	after := m.cfg.Directory.Snapshot()
	if after.Revision != before.Revision {
		m.record(events.Event{Kind: events.KindInventoryApplied, Revision: uint64(after.Revision)})
	}
	if reply.LeaseFor > 0 && after.Revision == reply.Revision {
		m.cfg.Directory.ExtendLease(sent.Add(time.Duration((1 - maxDrift) * float64(reply.LeaseFor))))
	}
	m.noteLease()
}

// noteLease writes gained and lost leases to the time line.
func (m *Membership) noteLease() {
	leased := m.cfg.Directory.Leased(time.Now())
	if leased == m.leased {
		return
	}
	m.leased = leased
	kind := events.KindLeaseLost
	if leased {
		kind = events.KindLeaseGained
	}
	m.record(events.Event{Kind: kind, Revision: uint64(m.cfg.Directory.Snapshot().Revision)})
}

func (m *Membership) record(event events.Event) {
	if m.cfg.Events != nil {
		m.cfg.Events.Record(event)
	}
}

func (m *Membership) report(now time.Time) protocol.EntryReport {
	snapshot := m.cfg.Directory.Snapshot()
	report := protocol.EntryReport{
		Name:        m.cfg.Name,
		Incarnation: m.cfg.Incarnation,
		DataCentre:  m.cfg.DataCentre,
		Address:     m.cfg.Address.String(),
		Applied:     snapshot.Revision,
		Topology:    snapshot.Topology,
		Draining:    m.draining.Load(),
	}
	if m.cfg.Suspects != nil {
		report.Suspects = m.cfg.Suspects(now)
	}
	if m.cfg.Running != nil {
		report.Running = m.cfg.Running()
	}
	return report
}

// breakOff cancels a renewal that control holds back as soon as the report has changed; the channel tells whether it did.
//
// One that control answers at once is left alone, so that reports that change all the time cannot stop the renewals.
func (m *Membership) breakOff(ctx context.Context, cancel context.CancelFunc, sent *protocol.EntryReport, held bool) <-chan bool {
	result := make(chan bool, 1)
	if !held {
		result <- false
		return result
	}
	go func() {
		ticker := time.NewTicker(reportPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				result <- false
				return
			case now := <-ticker.C:
				if current := m.report(now); changed(sent, &current) {
					cancel()
					result <- true
					return
				}
			}
		}
	}()
	return result
}

func changed(a, b *protocol.EntryReport) bool {
	sameServer := func(x, y protocol.Suspicion) bool { return x.Service == y.Service && x.Server == y.Server }
	return a.Draining != b.Draining || !slices.Equal(a.Running, b.Running) || !slices.EqualFunc(a.Suspects, b.Suspects, sameServer)
}
