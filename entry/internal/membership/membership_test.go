package membership_test

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/link/linktest"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/membership"
)

const testTimeout = 10 * time.Second

// fakeControl is a control process with a settable inventory revision. Like control it delays renewals until there is a change.
type fakeControl struct {
	endpoint *link.Endpoint

	mu            sync.Mutex
	leader        string
	revision      inventory.Revision
	leaseDuration time.Duration
	changed       chan struct{}
	reports       []protocol.EntryReport
	renewals      int
}

func newControl(fleet *linktest.Fleet, name string) *fakeControl {
	c := &fakeControl{endpoint: fleet.Endpoint(name, identity.RoleControl), changed: make(chan struct{}), leaseDuration: 3 * time.Second}
	c.endpoint.Handle(protocol.KindRenew, c.renew)
	c.endpoint.Handle(protocol.KindAnnounce, func(context.Context, identity.Peer, protocol.Frame) (any, error) {
		return protocol.AnnounceReply{MayStop: true}, c.refusal()
	})
	fleet.Serve(c.endpoint)
	return c
}

func (c *fakeControl) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return nil
	}
	return &protocol.Refusal{Code: protocol.CodeNotLeader, Leader: c.leader}
}

func (c *fakeControl) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) renew(ctx context.Context, _ identity.Peer, frame protocol.Frame) (any, error) {
	if err := c.refusal(); err != nil {
		return nil, err
	}
	var request protocol.RenewRequest
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.reports = append(c.reports, request.Entries[0])
	revision, changed := c.revision, c.changed
	c.mu.Unlock()
	if request.Inventory == revision {
		select {
		case <-changed:
		case <-time.After(request.Wait):
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewals++
	reply := protocol.RenewReply{LeaseDuration: c.leaseDuration, Revision: c.revision}
	if request.Inventory != c.revision {
		reply.Delta = &inventory.Delta{From: request.Inventory, To: c.revision}
	}
	return reply, nil
}

// waitForReport waits until the latest report matches.
func (c *fakeControl) waitForReport(t *testing.T, matches func(protocol.EntryReport) bool) {
	t.Helper()
	waitFor(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.reports) > 0 && matches(c.reports[len(c.reports)-1])
	})
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met before the timeout")
		}
	}
}

// startMembership runs the membership of an entry that knows the given control addresses.
func startMembership(t *testing.T, fleet *linktest.Fleet, suspects func(time.Time) []protocol.Suspicion, addresses ...netip.AddrPort) (*membership.Membership, *directory.Directory) {
	t.Helper()
	endpoint := fleet.Endpoint("entry-1", identity.RoleEntry)
	fleet.Serve(endpoint)
	d := directory.New()
	m := membership.New(membership.Config{
		Name: "entry-1", Incarnation: 1, DataCentre: "raquira", Address: endpoint.Address(), Endpoint: endpoint,
		Leader: membership.NewLeaderClient(endpoint, addresses), Directory: d, Log: logs.Discard(), Suspects: suspects,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m, d
}

func TestFindsLeaderAndAppliesConfiguration(t *testing.T) {
	fleet := linktest.New(t)
	follower, leader := newControl(fleet, "control-1"), newControl(fleet, "control-2")
	follower.leader = leader.endpoint.Address().String()
	leader.revision = 1
	dead := netip.MustParseAddrPort("127.0.0.1:9")
	m, d := startMembership(t, fleet, nil, dead, follower.endpoint.Address())
	waitFor(t, func() bool { return d.Snapshot().Revision == 1 && d.Leased(time.Now()) })
	leader.update(func() { leader.revision = 2 })
	leader.waitForReport(t, func(r protocol.EntryReport) bool { return r.Applied == 2 })
	reply, err := m.Announce(context.Background(), &protocol.Announcement{Server: "inv1-a"})
	if err != nil || !reply.MayStop {
		t.Errorf("announcement: %+v, %v", reply, err)
	}
}

func TestLeaseExpiresAndOlderInventoryDoesNotExtendIt(t *testing.T) {
	fleet := linktest.New(t)
	leader := newControl(fleet, "control-1")
	leader.revision, leader.leaseDuration = 5, 200*time.Millisecond
	_, d := startMembership(t, fleet, nil, leader.endpoint.Address())
	waitFor(t, func() bool { return d.Snapshot().Revision == 5 && d.Leased(time.Now()) })
	leader.update(func() { leader.revision = 4 })
	waitFor(t, func() bool { return !d.Leased(time.Now()) })
	if d.Snapshot().Revision != 5 {
		t.Errorf("reverted to revision %d", d.Snapshot().Revision)
	}
	leader.update(func() { leader.revision = 6 })
	waitFor(t, func() bool { return d.Snapshot().Revision == 6 && d.Leased(time.Now()) })
}

func TestSuspicionAndDrainingAreReportedImmediately(t *testing.T) {
	fleet := linktest.New(t)
	leader := newControl(fleet, "control-1")
	var mu sync.Mutex
	var suspects []protocol.Suspicion
	m, d := startMembership(t, fleet, func(time.Time) []protocol.Suspicion {
		mu.Lock()
		defer mu.Unlock()
		return suspects
	}, leader.endpoint.Address())
	waitFor(t, func() bool { return d.Leased(time.Now()) })
	mu.Lock()
	suspects = []protocol.Suspicion{{Service: "inventario-1", Server: "inv1-a"}}
	mu.Unlock()
	leader.waitForReport(t, func(r protocol.EntryReport) bool { return len(r.Suspects) == 1 })
	m.Drain()
	leader.waitForReport(t, func(r protocol.EntryReport) bool { return r.Draining })
}

func TestFlappingSuspicionsDoNotPreventRenewals(t *testing.T) {
	fleet := linktest.New(t)
	leader := newControl(fleet, "control-1")
	var calls atomic.Int64
	_, d := startMembership(t, fleet, func(time.Time) []protocol.Suspicion {
		return make([]protocol.Suspicion, calls.Add(1)%2)
	}, leader.endpoint.Address())
	waitFor(t, func() bool { return d.Leased(time.Now()) })
	first := d.LeaseEnd()
	waitFor(t, func() bool { return d.LeaseEnd().After(first.Add(time.Second)) })
}
