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

// Timing of the communication with control.
const (
	// renewWait is how long control may delay a reply while there is no change to report.
	renewWait = 500 * time.Millisecond
	// renewTimeout is how long to wait for a reply beyond renewWait.
	renewTimeout        = 500 * time.Millisecond
	announceTimeout     = 500 * time.Millisecond
	reportCheckInterval = 50 * time.Millisecond
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = 500 * time.Millisecond
)

// maxClockDrift is the maximum drift between the clocks of control and an entry, as a fraction of the elapsed time.
const maxClockDrift = 0.05

// Config configures a Membership.
type Config struct {
	Name        inventory.InstanceName
	Incarnation protocol.Incarnation
	DataCentre  inventory.DataCentre
	// Address is the address at which other processes reach the entry.
	Address   netip.AddrPort
	Endpoint  *link.Endpoint
	Leader    *LeaderClient
	Directory *directory.Directory
	Log       *log.Logger
	// Events may be nil.
	Events *events.Recorder
	// Suspects returns the servers that do not respond; it may be nil.
	Suspects func(now time.Time) []protocol.Suspicion
	// Running returns the groups that have running transactions of an older term than the directory's; it may be nil.
	Running func() []group.ID
}

// Membership renews the entry's configuration lease and reports to control.
type Membership struct {
	cfg      Config
	draining atomic.Bool
	leased   bool
	// interrupted is set if the last renewal was canceled to send a newer report. The next one then requests an immediate reply.
	interrupted bool
}

// New returns the membership of an entry. Run starts it.
func New(cfg Config) *Membership { return &Membership{cfg: cfg} }

// Drain makes all further reports state that the entry accepts no new work.
func (m *Membership) Drain() { m.draining.Store(true) }

// Announce forwards a backend server's announcement to the leader.
func (m *Membership) Announce(ctx context.Context, announcement *protocol.Announcement) (protocol.AnnounceReply, error) {
	var reply protocol.AnnounceReply
	err := m.cfg.Leader.Call(ctx, announceTimeout, protocol.KindAnnounce, announcement, &reply)
	return reply, err
}

// Run renews the lease until the context is canceled.
func (m *Membership) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if m.renew(ctx) {
			backoff = minBackoff
			continue
		}
		m.recordLeaseChange()
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// renew requests one renewal and cancels it if the report changes meanwhile. It returns false if the request failed otherwise.
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
	if m.interrupted {
		request.Wait = 0
	}
	canceled := m.cancelOnChange(ctx, cancel, &report, request.Wait > 0)
	var reply protocol.RenewReply
	sent := time.Now()
	err := m.cfg.Leader.Call(ctx, renewWait+renewTimeout, protocol.KindRenew, &request, &reply)
	cancel()
	m.interrupted = <-canceled && err != nil
	if m.interrupted {
		return true
	}
	if err != nil {
		m.cfg.Log.Debug().Err(err).Msg("configuration lease not renewed")
		return false
	}
	m.applyReply(&reply, sent)
	return true
}

// applyReply applies configuration changes and extends the lease if the entry then has the newest inventory.
func (m *Membership) applyReply(reply *protocol.RenewReply, sent time.Time) {
	before := m.cfg.Directory.Snapshot()
	m.cfg.Directory.Apply(reply.Delta, reply.Topology)
	after := m.cfg.Directory.Snapshot()
	if after.Revision != before.Revision {
		m.record(events.Event{Kind: events.KindInventoryApplied, Revision: uint64(after.Revision)})
	}
	if reply.LeaseDuration > 0 && after.Revision == reply.Revision {
		m.cfg.Directory.ExtendLease(sent.Add(time.Duration((1 - maxClockDrift) * float64(reply.LeaseDuration))))
	}
	m.recordLeaseChange()
}

// recordLeaseChange records an event if the lease was gained or lost since the last call.
func (m *Membership) recordLeaseChange() {
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
		report.OlderTermGroups = m.cfg.Running()
	}
	return report
}

// cancelOnChange cancels a long-polling renewal as soon as the report changes. The returned channel receives whether it did.
//
// It never cancels a renewal that requests an immediate reply, so that constantly changing reports cannot prevent renewals.
func (m *Membership) cancelOnChange(ctx context.Context, cancel context.CancelFunc, sent *protocol.EntryReport, longPoll bool) <-chan bool {
	result := make(chan bool, 1)
	if !longPoll {
		result <- false
		return result
	}
	go func() {
		ticker := time.NewTicker(reportCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				result <- false
				return
			case now := <-ticker.C:
				if current := m.report(now); reportChanged(sent, &current) {
					cancel()
					result <- true
					return
				}
			}
		}
	}()
	return result
}

func reportChanged(a, b *protocol.EntryReport) bool {
	sameServer := func(x, y protocol.Suspicion) bool { return x.Service == y.Service && x.Server == y.Server }
	return a.Draining != b.Draining || !slices.Equal(a.OlderTermGroups, b.OlderTermGroups) || !slices.EqualFunc(a.Suspects, b.Suspects, sameServer)
}
