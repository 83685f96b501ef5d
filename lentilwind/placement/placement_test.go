package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
)

const worlds = 30

func hostile() faults {
	return faults{loss: 0.2, delay: 4 * time.Second, restart: 0.01, newLeader: 0.002, cutOff: 0.02}
}

// run plays a world and returns the first broken limit.
func run(w *world, length time.Duration) error {
	for end := w.now + length; w.now < end; {
		if w.rng.IntN(20) == 0 {
			e := w.lives[w.rng.IntN(len(w.lives))]
			e.demand[w.databases[w.rng.IntN(len(w.databases))].ID] = w.rng.IntN(connections)
		}
		if err := w.step(); err != nil {
			return err
		}
	}
	return nil
}

func TestBudgetsNeverPassTheLimit(t *testing.T) {
	granted := 0
	for seed := range uint64(worlds) {
		w := newWorld(seed, hostile(), "")
		if err := run(w, 5*time.Minute); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		granted += w.granted
	}
	if granted == 0 {
		t.Error("no budget was ever granted")
	}
}

func TestEveryFlawIsFound(t *testing.T) {
	for _, broken := range []flaw{noDrift, neverBlind, lateReplies, oldRequests, sharedLives} {
		found := false
		for seed := uint64(0); seed < worlds && !found; seed++ {
			found = run(newWorld(seed, hostile(), broken), 5*time.Minute) != nil
		}
		if !found {
			t.Errorf("%s: no limit was broken in %d worlds", broken, worlds)
		}
	}
}

// homesOf returns the names of a database's homes, the best first.
func (w *world) homesOf(database int) []inventory.InstanceName {
	return placement.Homes(nil, &w.databases[database], w.names, w.settings.Homes)
}

// budgets returns the targets of the homes in their order.
func (w *world) budgets(database int) []int {
	var budgets []int
	for _, home := range w.homesOf(database) {
		for _, e := range w.lives {
			if e.name == home && !e.ended {
				budgets = append(budgets, e.keeper.Budget(e.clock(w.now), w.databases[database].ID).Target)
			}
		}
	}
	return budgets
}

func (w *world) demandAt(t *testing.T, database, home, n int) {
	t.Helper()
	name := w.homesOf(database)[home]
	for _, e := range w.lives {
		if e.name == name {
			e.demand[w.databases[database].ID] = n
		}
	}
}

func (w *world) settle(t *testing.T, length time.Duration) {
	t.Helper()
	for end := w.now + length; w.now < end; {
		if err := w.step(); err != nil {
			t.Fatal(err)
		}
	}
}

func sum(all []int) int {
	n := 0
	for _, one := range all {
		n += one
	}
	return n
}

func TestBudgetsFollowDemand(t *testing.T) {
	w := newWorld(1, faults{}, "")
	w.settle(t, 10*time.Second)
	if got := w.budgets(0); sum(got) != connections || slices.Min(got) < connections/len(got) {
		t.Errorf("without demand: %v", got)
	}
	w.demandAt(t, 0, 1, 100)
	w.settle(t, 10*time.Second)
	got := w.budgets(0)
	if sum(got) != connections || got[1] < connections/2 || slices.Min(got) < 1 {
		t.Errorf("with all demand at the second home: %v", got)
	}
	w.demandAt(t, 0, 1, 2)
	w.demandAt(t, 0, 2, 100)
	w.settle(t, 10*time.Second)
	got = w.budgets(0)
	if sum(got) != connections || got[2] < connections/2 || slices.Min(got) < 1 {
		t.Errorf("with the demand moved to the third home: %v", got)
	}
	if other := w.budgets(1); slices.Min(other) < connections/len(other) {
		t.Errorf("a database without demand changed: %v", other)
	}
}

func TestANewHomeWaitsForTheOldOne(t *testing.T) {
	w := newWorld(2, faults{}, "")
	w.demandAt(t, 0, 0, 10)
	w.settle(t, 10*time.Second)
	before := w.homesOf(0)
	// The entry dies without a word; the rest of the world learns of it at once.
	for _, e := range w.lives {
		e.ended = e.ended || e.name == before[0]
	}
	w.names = slices.DeleteFunc(w.names, func(e placement.Entry) bool { return e.Name == before[0] })
	w.leader.SetEntries(w.names)
	w.settle(t, 5*time.Second)
	if got := w.budgets(0); sum(got) >= connections {
		t.Errorf("the dead home's connections were given away before its lease was over: %v", got)
	}
	w.settle(t, 2*time.Second+w.settings.FloorLease*12/10)
	if got := w.budgets(0); len(got) != 3 || sum(got) != connections {
		t.Errorf("after the leases: %v", got)
	}
}

func TestALeavingHomeKeepsWhatIsBusy(t *testing.T) {
	w := newWorld(3, faults{}, "")
	w.demandAt(t, 0, 0, 12)
	w.settle(t, 10*time.Second)
	leaving := w.homesOf(0)[0]
	id := w.databases[0].ID
	w.leader.SetEntries(slices.DeleteFunc(slices.Clone(w.names), func(e placement.Entry) bool { return e.Name == leaving }))
	e := w.lives[slices.IndexFunc(w.lives, func(e *entryLife) bool { return e.name == leaving })]
	e.busy = true
	busy := e.open[id]
	for end := w.now + 3*w.settings.ShareLease; w.now < end; {
		if err := w.step(); err != nil {
			t.Fatal(err)
		}
		if hold := e.keeper.Budget(e.clock(w.now), id).Hold; hold < busy {
			t.Fatalf("a leaving home with %d busy connections may hold %d", busy, hold)
		}
	}
	e.open[id] = 0
	w.settle(t, 5*time.Second)
	if busy == 0 {
		t.Error("no connection was busy")
	}
	if budget := e.keeper.Budget(e.clock(w.now), id); budget.Hold != 0 {
		t.Errorf("an idle former home may hold %d", budget.Hold)
	}
}

func TestFloorsOutliveTheLeader(t *testing.T) {
	w := newWorld(4, faults{}, "")
	w.settle(t, 10*time.Second)
	w.faults.loss = 1
	w.settle(t, 20*time.Second)
	if got := w.budgets(0); slices.Min(got) < 1 || sum(got) >= connections {
		t.Errorf("cut off from the leader: %v", got)
	}
}

func TestANewLeaderConfirmsWhatIsHeld(t *testing.T) {
	w := newWorld(5, faults{}, "")
	w.demandAt(t, 0, 0, 12)
	w.settle(t, 10*time.Second)
	before := w.budgets(0)
	w.startLeader(false)
	for range 15 {
		w.settle(t, time.Second)
		if diff := cmp.Diff(before, w.budgets(0)); diff != "" {
			t.Fatalf("the change of leaders changed the budgets:\n%s", diff)
		}
	}
}

func TestHomesAreNearAndStable(t *testing.T) {
	var entries []placement.Entry
	for i := range 60 {
		region := inventory.RegionName(fmt.Sprintf("region-%d", i%2))
		dc := inventory.DataCentre(fmt.Sprintf("dc-%d", i%6))
		entries = append(entries, placement.Entry{Name: inventory.InstanceName(fmt.Sprintf("entry-%d", i)), DataCentre: dc, Region: region})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		database := placement.Database{DataCentre: "dc-0", Region: "region-0", Connections: 20}
		database.ID.Server = "db"
		homes := placement.Homes(nil, &database, entries, 3)
		shuffled := slices.Clone(entries)
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if diff := cmp.Diff(homes, placement.Homes(nil, &database, shuffled, 3)); diff != "" {
			t.Fatalf("the order of the entries matters:\n%s", diff)
		}
		gone := homes[rng.IntN(3)]
		rest := slices.DeleteFunc(shuffled, func(e placement.Entry) bool { return e.Name == gone })
		kept := slices.DeleteFunc(slices.Clone(homes), func(name inventory.InstanceName) bool { return name == gone })
		if got := placement.Homes(nil, &database, rest, 3); !cmp.Equal(kept, got[:2]) {
			t.Fatalf("without %s: got %v, before %v", gone, got, homes)
		}
	}
	far := placement.Database{DataCentre: "dc-8", Region: "region-1", Connections: 2}
	for _, home := range placement.Homes(nil, &far, entries, 3) {
		i := slices.IndexFunc(entries, func(e placement.Entry) bool { return e.Name == home })
		if entries[i].Region != "region-1" {
			t.Errorf("home %s in %s", home, entries[i].Region)
		}
	}
	if got := placement.Homes(nil, &far, entries, 3); len(got) != 2 {
		t.Errorf("%d homes for two connections", len(got))
	}
}

func TestALoweredLimitHoldsOnceConnectionsAreIdle(t *testing.T) {
	w := newWorld(6, faults{}, "")
	w.settle(t, 10*time.Second)
	lowered := slices.Clone(w.databases)
	lowered[0].Connections = connections / 2
	w.leader.SetDatabases(lowered)
	w.settle(t, 10*time.Second)
	if got := w.budgets(0); sum(got) != connections/2 || slices.Min(got) < 1 {
		t.Errorf("after the limit was lowered: %v", got)
	}
}

// A database that leaves the inventory and comes back has still the connections that were leased before.
func TestADatabaseThatComesBackIsNotGrantedTwice(t *testing.T) {
	w := newWorld(7, faults{}, "")
	w.settle(t, 10*time.Second)
	for _, e := range w.lives {
		e.cutUntil = w.now + time.Minute
	}
	w.leader.SetDatabases(w.databases[1:])
	w.leader.RemoveExpired(w.leaderClock())
	w.settle(t, time.Second)
	w.leader.SetDatabases(w.databases)
	// Other entries take the places of the homes, which still hold their leases.
	before := w.homesOf(0)
	w.names = slices.DeleteFunc(w.names, func(e placement.Entry) bool { return slices.Contains(before, e.Name) })
	for i := range 2 {
		name := inventory.InstanceName(fmt.Sprintf("new-%d", i))
		w.names = append(w.names, placement.Entry{Name: name, DataCentre: "raquira", Region: "andina"})
		w.startLife(name)
	}
	w.leader.SetEntries(w.names)
	w.settle(t, 5*time.Second)
	if got := sum(w.budgets(0)); got != 0 {
		t.Errorf("%d connections were granted beside those that were leased before", got)
	}
	w.settle(t, 2*time.Minute)
	if got := sum(w.budgets(0)); got != connections {
		t.Errorf("after the leases: %d connections", got)
	}
}

func TestARequestIsAnsweredOnce(t *testing.T) {
	w := newWorld(8, faults{}, "")
	keeper := placement.NewLeaseClient(w.settings, "entry-0", 99)
	request := keeper.NewRequest(origin, nil)
	if _, answered := w.leader.Handle(origin, &request); !answered {
		t.Error("a first request was not answered")
	}
	if _, answered := w.leader.Handle(origin, &request); answered {
		t.Error("a request was answered twice")
	}
}
