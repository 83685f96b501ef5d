package homes_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/homes"
)

const (
	testTimeout = 20 * time.Second
	connections = 20
	database    = group.Server("db-1")
)

var errNoAnswer = errors.New("no answer")

// leader is a LeaderClient that calls a placement.Leader in the same process. Requests and replies are encoded and decoded.
type leader struct {
	mu     sync.Mutex
	leader *placement.Leader
	silent atomic.Bool
}

func (l *leader) Call(_ context.Context, _ time.Duration, kind protocol.Kind, body, reply any) error {
	if l.silent.Load() || kind != protocol.KindBudget {
		return errNoAnswer
	}
	data, err := protocol.Encode(body)
	if err != nil {
		return err
	}
	var request placement.Request
	if err := protocol.Decode(data, &request); err != nil {
		return err
	}
	l.mu.Lock()
	answer, answered := l.leader.Handle(time.Now(), &request)
	l.mu.Unlock()
	if !answered {
		return errNoAnswer
	}
	if data, err = protocol.Encode(answer); err != nil {
		return err
	}
	return protocol.Decode(data, reply)
}

// entry is one entry with the connections that it would have open.
type entry struct {
	name      inventory.InstanceName
	directory *directory.Directory
	homes     *homes.Manager
	open      atomic.Int64
	busy      atomic.Int64
}

// apply opens as many connections as are busy, up to the budget.
func (e *entry) apply(h *homes.Manager) {
	e.open.Store(min(e.busy.Load(), int64(h.Budget(database).Target)))
}

type fleet struct {
	leader  *leader
	entries []*entry
	states  []protocol.EntryState
}

func newFleet(t *testing.T, n int, settings placement.Settings) *fleet {
	t.Helper()
	f := &fleet{leader: &leader{leader: placement.NewLeader(settings, time.Now(), true)}}
	id := group.ServerID{Service: "inventario-1", Server: database}
	f.leader.leader.SetDatabases([]placement.Database{{ID: id, DataCentre: "raquira", Region: "andina", Connections: connections}})
	for i := range n {
		f.states = append(f.states, protocol.EntryState{
			Name: inventory.InstanceName(fmt.Sprintf("entry-%d", i)), DataCentre: "raquira",
			Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Health: protocol.HealthLive,
		})
	}
	for _, state := range f.states {
		e := &entry{name: state.Name, directory: directory.New()}
		f.entries = append(f.entries, e)
		e.homes = homes.New(homes.Config{
			Name: state.Name, Incarnation: 1, Settings: settings, Directory: e.directory, Leader: f.leader, Log: logs.Discard(),
			Usage: func(group.Server) homes.Usage { return homes.Usage{Open: int(e.open.Load()), Busy: int(e.busy.Load())} },
			Apply: e.apply,
		})
		run(t, e.homes)
	}
	f.publish(1)
	return f
}

func run(t *testing.T, h *homes.Manager) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// publish applies the current entry states to the leader and to every entry.
func (f *fleet) publish(version uint64) {
	var live []placement.Entry
	for _, state := range f.states {
		if state.Health == protocol.HealthLive {
			live = append(live, placement.Entry{Name: state.Name, DataCentre: state.DataCentre, Region: "andina"})
		}
	}
	f.leader.mu.Lock()
	f.leader.leader.SetEntries(live)
	f.leader.mu.Unlock()
	services := []inventory.Service{{
		Name: "inventario-1", Slots: 1, Connections: connections,
		Databases: []inventory.Database{{Name: database, DataCentre: "raquira"}},
	}}
	regions := []inventory.Region{{Name: "andina", DataCentres: []inventory.DataCentre{"raquira"}}}
	for _, e := range f.entries {
		e.directory.Apply(&inventory.Delta{
			To:       1,
			Regions:  inventory.Change[inventory.RegionName, inventory.Region]{Set: regions},
			Services: inventory.Change[group.Service, inventory.Service]{Set: services},
		}, &protocol.Topology{Version: protocol.TopologyVersion{LeaderTerm: 1, Count: version}, Full: true, Entries: f.states})
	}
}

func (f *fleet) budgets() []int {
	budgets := make([]int, 0, len(f.entries))
	for _, e := range f.entries {
		budgets = append(budgets, e.homes.Budget(database).Hold)
	}
	return budgets
}

// heldConnections returns the sum of all budgets. It reads again until two reads agree.
func (f *fleet) heldConnections() int {
	budgets := f.budgets()
	for again := f.budgets(); !slices.Equal(budgets, again); again = f.budgets() {
		budgets = again
	}
	sum := 0
	for _, n := range budgets {
		sum += n
	}
	return sum
}

// await waits for a condition and checks throughout that the budgets never exceed the limit.
func (f *fleet) await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if sum := f.heldConnections(); sum > connections {
			t.Fatalf("budgets add up to %d connections", sum)
		}
		if time.Now().After(end) {
			for _, e := range f.entries {
				t.Logf("%s: home %v, %+v", e.name, e.homes.IsHome(database), e.homes.Budget(database))
			}
			t.Fatal("condition not met in time")
		}
	}
}

// split returns the entries that are homes, and the others.
func (f *fleet) split() (home, other []*entry) {
	for _, e := range f.entries {
		if e.homes.IsHome(database) {
			home = append(home, e)
			continue
		}
		other = append(other, e)
	}
	return home, other
}

func TestHomesShareLimitAndOthersForward(t *testing.T) {
	f := newFleet(t, 5, placement.DefaultSettings())
	f.await(t, func() bool { return f.heldConnections() == connections })
	home, other := f.split()
	if len(home) != 3 || len(other) != 2 {
		t.Fatalf("%d homes, %d others", len(home), len(other))
	}
	for _, e := range home {
		if to, local := e.homes.Homes(database, nil); !local || len(to) != 2 {
			t.Errorf("%s: local %v, others %v", e.name, local, to)
		}
	}
	for _, e := range other {
		if to, local := e.homes.Homes(database, nil); local || len(to) != 3 || !to[0].IsValid() {
			t.Errorf("%s: local %v, homes %v", e.name, local, to)
		}
	}
	home[1].busy.Store(100)
	f.await(t, func() bool { return home[1].homes.Budget(database).Target >= connections/2 })
	for _, e := range home {
		if e.homes.Budget(database).Target == 0 {
			t.Errorf("%s has no connection left", e.name)
		}
	}
}

func TestLeavingHomeReturnsBudget(t *testing.T) {
	f := newFleet(t, 4, placement.DefaultSettings())
	f.await(t, func() bool { return f.heldConnections() == connections })
	home, _ := f.split()
	leaving := home[0]
	leaving.busy.Store(5)
	f.await(t, func() bool { return leaving.homes.Budget(database).Hold >= 5 })
	leaving.open.Store(5)
	for i := range f.states {
		if f.states[i].Name == leaving.name {
			f.states[i].Health = protocol.HealthLeaving
		}
	}
	f.publish(2)
	f.await(t, func() bool { return !leaving.homes.IsHome(database) })
	if to, local := leaving.homes.Homes(database, nil); local || len(to) != 3 {
		t.Errorf("a leaving entry: local %v, homes %v", local, to)
	}
	leaving.busy.Store(0)
	leaving.open.Store(0)
	f.await(t, func() bool { return leaving.homes.Budget(database).Hold == 0 && f.heldConnections() == connections })
}

func TestSharesExpireWithoutLeaderAndFloorsRemain(t *testing.T) {
	settings := placement.DefaultSettings()
	settings.ShareLease, settings.DrainPeriod = 2*time.Second, time.Second
	f := newFleet(t, 3, settings)
	f.await(t, func() bool { return f.heldConnections() == connections })
	f.leader.silent.Store(true)
	f.await(t, func() bool { return f.heldConnections() < connections/2 })
	for _, e := range f.entries {
		if e.homes.Budget(database).Target == 0 {
			t.Errorf("%s has no floor", e.name)
		}
	}
	f.leader.silent.Store(false)
	f.await(t, func() bool { return f.heldConnections() == connections })
}

func TestReleaseReturnsAllBudgets(t *testing.T) {
	f := newFleet(t, 1, placement.DefaultSettings())
	f.await(t, func() bool { return f.heldConnections() > 0 })
	e := f.entries[0]
	if to, local := e.homes.Homes(database, []netip.AddrPort{}); !local || len(to) != 0 {
		t.Errorf("the only entry: local %v, homes %v", local, to)
	}
	f.states[0].Health = protocol.HealthLeaving
	f.publish(2)
	f.await(t, func() bool { return !e.homes.IsHome(database) })
	e.homes.Release(t.Context())
	if got := e.homes.Budget(database); got.Hold != 0 {
		t.Errorf("after the release: %+v", got)
	}
}
