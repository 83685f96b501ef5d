package positions_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/link/linktest"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/positions"
)

const (
	service     = group.Service("inventario-1")
	testTimeout = 20 * time.Second
)

var (
	servers = []group.Server{"db-0", "db-1", "db-2"}
	slot0   = group.ID{Service: service}
)

// cluster is a service with three databases, homes that monitor them, and one entry that asks the homes.
type cluster struct {
	t         testing.TB
	databases database.Service
	directory *directory.Directory
	links     *linktest.Fleet
	addresses []netip.AddrPort
	stops     []context.CancelFunc
	homes     []*positions.Tracker
	entry     *positions.Tracker
	calls     countingPeers
	writer    *pgx.Conn
	written   int
}

// homesOfAll makes each address a home of every server, in order. The asking entry itself is no home.
type homesOfAll []netip.AddrPort

func (h homesOfAll) Homes(_ group.Server, dst []netip.AddrPort) ([]netip.AddrPort, bool) {
	return append(dst, h...), false
}

func (homesOfAll) IsHome(group.Server) bool { return false }

// countingPeers counts the requests that were answered.
type countingPeers struct {
	*link.Endpoint
	answered atomic.Int64
}

func (p *countingPeers) Call(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body, reply any) error {
	err := p.Endpoint.Call(ctx, to, kind, body, reply)
	if err == nil {
		p.answered.Add(1)
	}
	return err
}

func newCluster(t testing.TB, homes int) *cluster {
	t.Helper()
	c := &cluster{t: t, directory: directory.New(), links: linktest.New(t)}
	var err error
	if c.databases, err = database.StartService(database.Config{Service: service, DataCentre: "raquira"}, servers...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.databases.Close() })
	c.publish()
	for i := range homes {
		c.startHome(i)
	}
	c.calls.Endpoint = c.links.Endpoint("asker", identity.RoleEntry)
	c.links.Serve(c.calls.Endpoint)
	c.entry = positions.New(positions.Config{
		Directory: c.directory, DataCentre: "raquira", Log: logs.Discard(), Homes: homesOfAll(c.addresses), Peers: &c.calls,
	})
	c.run(c.entry.Run)
	c.writer = c.connect(0)
	return c
}

func (c *cluster) run(run func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	c.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Error(err)
		}
	})
	return cancel
}

func (c *cluster) startHome(i int) {
	tracker := positions.New(positions.Config{Directory: c.directory, DataCentre: "raquira", Log: logs.Discard()})
	endpoint := c.links.Endpoint(fmt.Sprintf("home-%d", i), identity.RoleEntry)
	endpoint.Handle(protocol.KindObserve, tracker.ServeObserve)
	c.stops = append(c.stops, c.run(endpoint.Serve))
	c.run(tracker.Run)
	c.homes = append(c.homes, tracker)
	c.addresses = append(c.addresses, endpoint.Address())
}

func (c *cluster) publish() {
	inv := inventory.Inventory{
		Regions:  []inventory.Region{{Name: "andina", DataCentres: []inventory.DataCentre{"raquira"}}},
		Services: []inventory.Service{{Name: service, Slots: 3, Connections: 20}},
	}
	topology := protocol.Topology{Version: protocol.TopologyVersion{LeaderTerm: 1, Count: 1}, Full: true}
	for i, name := range servers {
		inv.Services[0].Databases = append(inv.Services[0].Databases, inventory.Database{Name: name, DataCentre: "raquira"})
		topology.Servers = append(topology.Servers, protocol.ServerState{
			Service: service, Server: name, Address: c.databases[i].Address(), Health: protocol.HealthLive,
		})
		topology.Groups = append(topology.Groups, group.Configuration{
			Group: group.ID{Service: service, Slot: group.Slot(i)}, Term: 1, Primary: name,
		})
	}
	topology.Entries = []protocol.EntryState{{Name: "asker", DataCentre: "raquira", Address: "127.0.0.1:1", Health: protocol.HealthLive}}
	delta := inventory.Diff(0, nil, 1, &inv)
	c.directory.Apply(&delta, &topology)
}

// connect opens a connection with the scope for writes to slot 0.
func (c *cluster) connect(server int) *pgx.Conn {
	c.t.Helper()
	conn, err := pgx.Connect(context.Background(), "postgres://lentilwind@"+c.databases[server].Address()+"/"+string(service)+"?sslmode=disable")
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	scope := "SET lentilwind.workspace = 'florists'; SET lentilwind.slot = '0'; SET lentilwind.term = '1'; SET lentilwind.access = 'write'"
	if _, err := conn.Exec(context.Background(), scope, pgx.QueryExecModeSimpleProtocol); err != nil {
		c.t.Fatal(err)
	}
	return conn
}

// write commits one record to slot 0 and returns its position.
func (c *cluster) write() group.Position {
	c.t.Helper()
	c.written++
	insert := fmt.Sprintf("INSERT INTO journal (id, key, value) VALUES ('op-%d', 'k', 1)", c.written)
	if _, err := c.writer.Exec(context.Background(), insert, pgx.QueryExecModeSimpleProtocol); err != nil {
		c.t.Fatal(err)
	}
	status, err := group.ParseStatus(c.writer.PgConn().ParameterStatus("lentilwind.position"))
	if err != nil {
		c.t.Fatal(err)
	}
	return status.Applied
}

func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

// confirmWrite writes once and checks Confirm, SessionFloor and ConfirmCurrent for that write.
func (c *cluster) confirmWrite() {
	c.t.Helper()
	position := c.write()
	if err := c.entry.Confirm(c.context(), slot0, 1, position); err != nil {
		c.t.Fatal(err)
	}
	since := time.Now()
	floor, err := c.entry.SessionFloor(c.context(), slot0, since)
	if err != nil || floor.Position < position {
		c.t.Fatalf("floor %+v after a write at %d: %v", floor, position, err)
	}
	if err := c.entry.ConfirmCurrent(c.context(), slot0, 1, position, since); err != nil {
		c.t.Fatal(err)
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time")
		}
	}
}

func TestConfirmThroughHome(t *testing.T) {
	c := newCluster(t, 1)
	for range 20 {
		c.confirmWrite()
	}
	if c.calls.answered.Load() == 0 {
		t.Error("no home was asked")
	}
}

// A sample must include every write that was acknowledged before its SentAt, even if the home answers from an older status.
func TestSampleTimesAreNeverTooRecent(t *testing.T) {
	c := newCluster(t, 1)
	c.confirmWrite()
	acknowledged := make(map[group.Position]time.Time)
	var view route.View
	samples := make(map[time.Time]struct{})
	for range 400 {
		position := c.write()
		acknowledged[position] = time.Now()
		c.entry.FillView(slot0, &view)
		sample, known := c.entry.Status(slot0, servers[0])
		if !known {
			continue
		}
		samples[sample.SentAt] = struct{}{}
		for position, at := range acknowledged {
			if at.Before(sample.SentAt) && sample.Status.Received < position {
				t.Fatalf("SentAt of a sample is %v too recent", sample.SentAt.Sub(at))
			}
		}
		// Requests for reads are sent in the background, so the home answers from the statuses that it has.
		time.Sleep(time.Millisecond)
	}
	if len(samples) < 2 {
		t.Errorf("saw only %d samples", len(samples))
	}
}

func TestFallbackToOtherHomesAndDirectPolling(t *testing.T) {
	c := newCluster(t, 2)
	c.confirmWrite()
	c.stops[0]()
	c.confirmWrite()
	c.stops[1]()
	// No home is left, so the entry must monitor the databases itself.
	c.confirmWrite()
}

func TestSuspicionsReportedThroughHome(t *testing.T) {
	c := newCluster(t, 1)
	c.confirmWrite()
	if got := c.entry.Suspects(time.Now()); len(got) != 0 {
		t.Fatalf("suspects without a fault: %v", got)
	}
	if err := c.databases[1].Crash(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		suspects := c.entry.Suspects(time.Now())
		return len(suspects) == 1 && suspects[0].Server == servers[1]
	})
	if err := c.databases[1].Restart(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return len(c.entry.Suspects(time.Now())) == 0 })
}

func TestSmallFleetPollsDatabasesDirectly(t *testing.T) {
	c := newCluster(t, 1)
	small := positions.New(positions.Config{
		Directory: c.directory, DataCentre: "raquira", Log: logs.Discard(), Homes: homesOfAll(c.addresses), DirectEntries: 1,
	})
	c.run(small.Run)
	if err := small.Confirm(c.context(), slot0, 1, c.write()); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkConfirm measures the confirmation of one write at a time.
func BenchmarkConfirm(b *testing.B) {
	c := newCluster(b, 1)
	for name, tracker := range map[string]*positions.Tracker{"direct": c.homes[0], "home": c.entry} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				sent := time.Now()
				position := c.write()
				// An entry learns the primary's position from the answer to the commit.
				tracker.Observe(service, servers[0], group.Status{
					Slot: 0, Role: group.RolePrimary, Term: 1, FencedTerm: 1, Received: position, Applied: position,
				}, sent)
				b.StartTimer()
				if err := tracker.Confirm(b.Context(), slot0, 1, position); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestObserveRejectsPeersOtherThanEntries(t *testing.T) {
	c := newCluster(t, 1)
	operator := c.links.Endpoint("operator", identity.RoleOperator)
	c.links.Serve(operator)
	var refusal *protocol.Refusal
	err := operator.Call(c.context(), c.addresses[0], protocol.KindObserve, &protocol.ObserveRequest{}, &protocol.ObserveReply{})
	if !errors.As(err, &refusal) || refusal.Code != protocol.CodeNotPermitted {
		t.Errorf("got %v", err)
	}
}
