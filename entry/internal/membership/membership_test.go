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

const patience = 10 * time.Second

// fakeControl is a control process with a settable inventory; it holds renewals back as control does.
type fakeControl struct {
	endpoint *link.Endpoint

	mu       sync.Mutex
	leader   string
	current  inventory.Revision
	grant    time.Duration
	changed  chan struct{}
	reports  []protocol.EntryReport
	renewals int
}

func newControl(fleet *linktest.Fleet, name string) *fakeControl {
	c := &fakeControl{endpoint: fleet.Endpoint(name, identity.RoleControl), changed: make(chan struct{}), grant: 3 * time.Second}
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

func (c *fakeControl) set(change func()) {
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
	current, changed := c.current, c.changed
	c.mu.Unlock()
	if request.Inventory == current {
		select {
		case <-changed:
		case <-time.After(request.Wait):
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewals++
	reply := protocol.RenewReply{LeaseFor: c.grant, Revision: c.current}
	if request.Inventory != c.current {
		reply.Delta = &inventory.Delta{From: request.Inventory, To: c.current}
	}
	return reply, nil
}

// reported waits until a report fits.
func (c *fakeControl) reported(t *testing.T, fits func(protocol.EntryReport) bool) {
	t.Helper()
	await(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.reports) > 0 && fits(c.reports[len(c.reports)-1])
	})
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not happen in time")
		}
	}
}

// newMember starts an entry that knows the given control addresses.
func newMember(t *testing.T, fleet *linktest.Fleet, suspects func(time.Time) []protocol.Suspicion, addresses ...netip.AddrPort) (*membership.Membership, *directory.Directory) {
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

func TestLeaderIsFoundAndConfigurationTakenIn(t *testing.T) {
	fleet := linktest.New(t)
	follower, leader := newControl(fleet, "control-1"), newControl(fleet, "control-2")
	follower.leader = leader.endpoint.Address().String()
	leader.current = 1
	dead := netip.MustParseAddrPort("127.0.0.1:9")
	m, d := newMember(t, fleet, nil, dead, follower.endpoint.Address())
	await(t, func() bool { return d.Snapshot().Revision == 1 && d.Leased(time.Now()) })
	leader.set(func() { leader.current = 2 })
	leader.reported(t, func(r protocol.EntryReport) bool { return r.Applied == 2 })
	reply, err := m.Announce(context.Background(), &protocol.Announcement{Server: "inv1-a"})
	if err != nil || !reply.MayStop {
		t.Errorf("announcement: %+v, %v", reply, err)
	}
}

func TestLeaseEndsWithoutRenewalsAndNeverRestsOnAnOlderInventory(t *testing.T) {
	fleet := linktest.New(t)
	leader := newControl(fleet, "control-1")
	leader.current, leader.grant = 5, 200*time.Millisecond
	_, d := newMember(t, fleet, nil, leader.endpoint.Address())
	await(t, func() bool { return d.Snapshot().Revision == 5 && d.Leased(time.Now()) })
	leader.set(func() { leader.current = 4 })
	await(t, func() bool { return !d.Leased(time.Now()) })
	if d.Snapshot().Revision != 5 {
		t.Errorf("went back to revision %d", d.Snapshot().Revision)
	}
	leader.set(func() { leader.current = 6 })
	await(t, func() bool { return d.Snapshot().Revision == 6 && d.Leased(time.Now()) })
}

func TestNewSuspicionAndDrainingAreReportedAtOnce(t *testing.T) {
	fleet := linktest.New(t)
	leader := newControl(fleet, "control-1")
	var mu sync.Mutex
	var suspects []protocol.Suspicion
	m, d := newMember(t, fleet, func(time.Time) []protocol.Suspicion {
		mu.Lock()
		defer mu.Unlock()
		return suspects
	}, leader.endpoint.Address())
	await(t, func() bool { return d.Leased(time.Now()) })
	mu.Lock()
	suspects = []protocol.Suspicion{{Service: "inventario-1", Server: "inv1-a"}}
	mu.Unlock()
	leader.reported(t, func(r protocol.EntryReport) bool { return len(r.Suspects) == 1 })
	m.Drain()
	leader.reported(t, func(r protocol.EntryReport) bool { return r.Draining })
}

func TestSuspicionsThatComeAndGoDoNotStopTheRenewals(t *testing.T) {
	fleet := linktest.New(t)
	leader := newControl(fleet, "control-1")
	var calls atomic.Int64
	_, d := newMember(t, fleet, func(time.Time) []protocol.Suspicion {
		return make([]protocol.Suspicion, calls.Add(1)%2)
	}, leader.endpoint.Address())
	await(t, func() bool { return d.Leased(time.Now()) })
	first := d.LeaseEnd()
	await(t, func() bool { return d.LeaseEnd().After(first.Add(time.Second)) })
}
