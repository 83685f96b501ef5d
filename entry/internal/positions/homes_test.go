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
	service  = group.Service("inventario-1")
	patience = 20 * time.Second
)

var (
	servers = []group.Server{"db-0", "db-1", "db-2"}
	slot0   = group.ID{Service: service}
)

// world is a service of three databases, homes that watch them, and one entry that asks the homes.
type world struct {
	t         testing.TB
	databases database.Service
	directory *directory.Directory
	links     *linktest.Fleet
	addresses []netip.AddrPort
	stops     []context.CancelFunc
	homes     []*positions.Tracker
	asker     *positions.Tracker
	calls     countedPeers
	writer    *pgx.Conn
	written   int
}

// allHomes makes every home a home of every server, in their order; the asker is none.
type allHomes []netip.AddrPort

func (h allHomes) Homes(_ group.Server, dst []netip.AddrPort) ([]netip.AddrPort, bool) {
	return append(dst, h...), false
}

func (allHomes) IsHome(group.Server) bool { return false }

// countedPeers counts the requests that were answered.
type countedPeers struct {
	*link.Endpoint
	answered atomic.Int64
}

func (p *countedPeers) Call(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body, reply any) error {
	err := p.Endpoint.Call(ctx, to, kind, body, reply)
	if err == nil {
		p.answered.Add(1)
	}
	return err
}

func newWorld(t testing.TB, homes int) *world {
	t.Helper()
	w := &world{t: t, directory: directory.New(), links: linktest.New(t)}
	var err error
	if w.databases, err = database.StartService(database.Config{Service: service, DataCentre: "raquira"}, servers...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.databases.Close() })
	w.publish()
	for i := range homes {
		w.startHome(i)
	}
	w.calls.Endpoint = w.links.Endpoint("asker", identity.RoleEntry)
	w.links.Serve(w.calls.Endpoint)
	w.asker = positions.New(positions.Config{
		Directory: w.directory, DataCentre: "raquira", Log: logs.Discard(), Homes: allHomes(w.addresses), Peers: &w.calls,
	})
	w.run(w.asker.Run)
	w.writer = w.connect(0)
	return w
}

func (w *world) run(run func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	w.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			w.t.Error(err)
		}
	})
	return cancel
}

func (w *world) startHome(i int) {
	keeper := positions.New(positions.Config{Directory: w.directory, DataCentre: "raquira", Log: logs.Discard()})
	endpoint := w.links.Endpoint(fmt.Sprintf("home-%d", i), identity.RoleEntry)
	endpoint.Handle(protocol.KindObserve, keeper.ServeObserve)
	w.stops = append(w.stops, w.run(endpoint.Serve))
	w.run(keeper.Run)
	w.homes = append(w.homes, keeper)
	w.addresses = append(w.addresses, endpoint.Address())
}

func (w *world) publish() {
	inv := inventory.Inventory{
		Regions:  []inventory.Region{{Name: "andina", DataCentres: []inventory.DataCentre{"raquira"}}},
		Services: []inventory.Service{{Name: service, Slots: 3, Connections: 20}},
	}
	topology := protocol.Topology{Version: protocol.TopologyVersion{LeaderTerm: 1, Count: 1}, Full: true}
	for i, name := range servers {
		inv.Services[0].Databases = append(inv.Services[0].Databases, inventory.Database{Name: name, DataCentre: "raquira"})
		topology.Servers = append(topology.Servers, protocol.ServerState{
			Service: service, Server: name, Address: w.databases[i].Address(), Health: protocol.HealthLive,
		})
		topology.Groups = append(topology.Groups, group.Configuration{
			Group: group.ID{Service: service, Slot: group.Slot(i)}, Term: 1, Primary: name,
		})
	}
	topology.Entries = []protocol.EntryState{{Name: "asker", DataCentre: "raquira", Address: "127.0.0.1:1", Health: protocol.HealthLive}}
	delta := inventory.Diff(0, nil, 1, &inv)
	w.directory.Apply(&delta, &topology)
}

// connect opens a connection that writes to slot 0.
func (w *world) connect(server int) *pgx.Conn {
	w.t.Helper()
	conn, err := pgx.Connect(context.Background(), "postgres://lentilwind@"+w.databases[server].Address()+"/"+string(service)+"?sslmode=disable")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	scope := "SET lentilwind.workspace = 'florists'; SET lentilwind.slot = '0'; SET lentilwind.term = '1'; SET lentilwind.access = 'write'"
	if _, err := conn.Exec(context.Background(), scope, pgx.QueryExecModeSimpleProtocol); err != nil {
		w.t.Fatal(err)
	}
	return conn
}

// write commits one record to slot 0 and returns its position.
func (w *world) write() group.Position {
	w.t.Helper()
	w.written++
	insert := fmt.Sprintf("INSERT INTO journal (id, key, value) VALUES ('op-%d', 'k', 1)", w.written)
	if _, err := w.writer.Exec(context.Background(), insert, pgx.QueryExecModeSimpleProtocol); err != nil {
		w.t.Fatal(err)
	}
	status, err := group.ParseStatus(w.writer.PgConn().ParameterStatus("lentilwind.position"))
	if err != nil {
		w.t.Fatal(err)
	}
	return status.Applied
}

func (w *world) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	w.t.Cleanup(cancel)
	return ctx
}

// confirmed writes once and checks that the asker learns all there is to know of it.
func (w *world) confirmed() {
	w.t.Helper()
	position := w.write()
	if err := w.asker.Confirm(w.context(), slot0, 1, position); err != nil {
		w.t.Fatal(err)
	}
	since := time.Now()
	floor, err := w.asker.SessionFloor(w.context(), slot0, since)
	if err != nil || floor.Position < position {
		w.t.Fatalf("floor %+v after a write at %d: %v", floor, position, err)
	}
	if err := w.asker.ConfirmCurrent(w.context(), slot0, 1, position, since); err != nil {
		w.t.Fatal(err)
	}
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not happen in time")
		}
	}
}

func TestWritesAreConfirmedThroughAHome(t *testing.T) {
	w := newWorld(t, 1)
	for range 20 {
		w.confirmed()
	}
	if w.calls.answered.Load() == 0 {
		t.Error("no home was asked")
	}
}

// A sample must hold every write that was acknowledged before the time that it bears, whatever the home knew already.
func TestSamplesErrToOlder(t *testing.T) {
	w := newWorld(t, 1)
	w.confirmed()
	acknowledged := make(map[group.Position]time.Time)
	var view route.View
	samples := make(map[time.Time]struct{})
	for range 400 {
		position := w.write()
		acknowledged[position] = time.Now()
		w.asker.FillView(slot0, &view)
		sample, known := w.asker.Status(slot0, servers[0])
		if !known {
			continue
		}
		samples[sample.SentAt] = struct{}{}
		for position, at := range acknowledged {
			if at.Before(sample.SentAt) && sample.Status.Received < position {
				t.Fatalf("a sample that is %v too new", sample.SentAt.Sub(at))
			}
		}
		// Reads are placed in the background, so the home answers from what it has.
		time.Sleep(time.Millisecond)
	}
	if len(samples) < 2 {
		t.Errorf("%d samples were seen", len(samples))
	}
}

func TestAnotherHomeTakesOver(t *testing.T) {
	w := newWorld(t, 2)
	w.confirmed()
	w.stops[0]()
	w.confirmed()
	w.stops[1]()
	// No home answers any more: the entry asks the databases itself.
	w.confirmed()
}

func TestSuspicionsPassThroughTheHome(t *testing.T) {
	w := newWorld(t, 1)
	w.confirmed()
	if got := w.asker.Suspects(time.Now()); len(got) != 0 {
		t.Fatalf("suspects without a fault: %v", got)
	}
	if err := w.databases[1].Crash(); err != nil {
		t.Fatal(err)
	}
	await(t, func() bool {
		suspects := w.asker.Suspects(time.Now())
		return len(suspects) == 1 && suspects[0].Server == servers[1]
	})
	if err := w.databases[1].Restart(); err != nil {
		t.Fatal(err)
	}
	await(t, func() bool { return len(w.asker.Suspects(time.Now())) == 0 })
}

func TestASmallFleetAsksTheDatabases(t *testing.T) {
	w := newWorld(t, 1)
	small := positions.New(positions.Config{
		Directory: w.directory, DataCentre: "raquira", Log: logs.Discard(), Homes: allHomes(w.addresses), DirectEntries: 1,
	})
	w.run(small.Run)
	if err := small.Confirm(w.context(), slot0, 1, w.write()); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkConfirm waits for the majority of one write at a time.
func BenchmarkConfirm(b *testing.B) {
	w := newWorld(b, 1)
	for name, keeper := range map[string]*positions.Tracker{"direct": w.homes[0], "home": w.asker} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				sent := time.Now()
				position := w.write()
				// An entry knows the primary's position from the answer to the commit.
				keeper.Observe(service, servers[0], group.Status{
					Slot: 0, Role: group.RolePrimary, Term: 1, FencedTerm: 1, Received: position, Applied: position,
				}, sent)
				b.StartTimer()
				if err := keeper.Confirm(b.Context(), slot0, 1, position); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestOnlyEntriesAreAnswered(t *testing.T) {
	w := newWorld(t, 1)
	stranger := w.links.Endpoint("operator", identity.RoleOperator)
	w.links.Serve(stranger)
	var refusal *protocol.Refusal
	err := stranger.Call(w.context(), w.addresses[0], protocol.KindObserve, &protocol.ObserveRequest{}, &protocol.ObserveReply{})
	if !errors.As(err, &refusal) || refusal.Code != protocol.CodeNotPermitted {
		t.Errorf("got %v", err)
	}
}
