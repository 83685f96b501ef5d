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

const seeds = 30

func severeFaults() faults {
	return faults{loss: 0.2, delay: 4 * time.Second, restart: 0.01, newLeader: 0.002, cutOff: 0.02}
}

// run runs the simulation with random demand and returns the first exceeded limit as an error.
func run(sim *simulation, length time.Duration) error {
	for end := sim.now + length; sim.now < end; {
		if sim.rng.IntN(20) == 0 {
			e := sim.processes[sim.rng.IntN(len(sim.processes))]
			e.demand[sim.databases[sim.rng.IntN(len(sim.databases))].ID] = sim.rng.IntN(connections)
		}
		if err := sim.step(); err != nil {
			return err
		}
	}
	return nil
}

func TestBudgetsNeverExceedTheLimit(t *testing.T) {
	granted := 0
	for seed := range uint64(seeds) {
		sim := newSimulation(seed, severeFaults(), "")
		if err := run(sim, 5*time.Minute); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		granted += sim.appliedReplies
	}
	if granted == 0 {
		t.Error("no budget was ever granted")
	}
}

func TestBrokenVariantsExceedTheLimit(t *testing.T) {
	for _, v := range []variant{ignoreDrift, skipRecovery, acceptLateReplies, acceptOldRequests, shareIncarnations} {
		found := false
		for seed := uint64(0); seed < seeds && !found; seed++ {
			found = run(newSimulation(seed, severeFaults(), v), 5*time.Minute) != nil
		}
		if !found {
			t.Errorf("%s: no limit was exceeded with any of %d seeds", v, seeds)
		}
	}
}

// homesOf returns the names of a database's homes, the best first.
func (sim *simulation) homesOf(database int) []inventory.InstanceName {
	return placement.Homes(nil, &sim.databases[database], sim.entries, sim.settings.Homes)
}

// targets returns the targets of the homes, in the order of the homes.
func (sim *simulation) targets(database int) []int {
	var targets []int
	for _, home := range sim.homesOf(database) {
		for _, e := range sim.processes {
			if e.name == home && !e.stopped {
				targets = append(targets, e.client.Budget(e.clock(sim.now), sim.databases[database].ID).Target)
			}
		}
	}
	return targets
}

func (sim *simulation) setDemand(t *testing.T, database, home, n int) {
	t.Helper()
	name := sim.homesOf(database)[home]
	for _, e := range sim.processes {
		if e.name == name {
			e.demand[sim.databases[database].ID] = n
		}
	}
}

func (sim *simulation) advance(t *testing.T, length time.Duration) {
	t.Helper()
	for end := sim.now + length; sim.now < end; {
		if err := sim.step(); err != nil {
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
	sim := newSimulation(1, faults{}, "")
	sim.advance(t, 10*time.Second)
	if got := sim.targets(0); sum(got) != connections || slices.Min(got) < connections/len(got) {
		t.Errorf("without demand: %v", got)
	}
	sim.setDemand(t, 0, 1, 100)
	sim.advance(t, 10*time.Second)
	got := sim.targets(0)
	if sum(got) != connections || got[1] < connections/2 || slices.Min(got) < 1 {
		t.Errorf("with all demand at the second home: %v", got)
	}
	sim.setDemand(t, 0, 1, 2)
	sim.setDemand(t, 0, 2, 100)
	sim.advance(t, 10*time.Second)
	got = sim.targets(0)
	if sum(got) != connections || got[2] < connections/2 || slices.Min(got) < 1 {
		t.Errorf("with the demand moved to the third home: %v", got)
	}
	if other := sim.targets(1); slices.Min(other) < connections/len(other) {
		t.Errorf("a database without demand changed: %v", other)
	}
}

func TestNewHomeWaitsForLeasesOfFormerHome(t *testing.T) {
	sim := newSimulation(2, faults{}, "")
	sim.setDemand(t, 0, 0, 10)
	sim.advance(t, 10*time.Second)
	before := sim.homesOf(0)
	// The entry stops without a message; the leader learns of it at once.
	for _, e := range sim.processes {
		e.stopped = e.stopped || e.name == before[0]
	}
	sim.entries = slices.DeleteFunc(sim.entries, func(e placement.Entry) bool { return e.Name == before[0] })
	sim.leader.SetEntries(sim.entries)
	sim.advance(t, 5*time.Second)
	if got := sim.targets(0); sum(got) >= connections {
		t.Errorf("the stopped home's connections were granted to others before its lease ended: %v", got)
	}
	sim.advance(t, 2*time.Second+sim.settings.FloorLease*12/10)
	if got := sim.targets(0); len(got) != 3 || sum(got) != connections {
		t.Errorf("after the end of the leases: %v", got)
	}
}

func TestFormerHomeKeepsBusyConnections(t *testing.T) {
	sim := newSimulation(3, faults{}, "")
	sim.setDemand(t, 0, 0, 12)
	sim.advance(t, 10*time.Second)
	leaving := sim.homesOf(0)[0]
	id := sim.databases[0].ID
	sim.leader.SetEntries(slices.DeleteFunc(slices.Clone(sim.entries), func(e placement.Entry) bool { return e.Name == leaving }))
	e := sim.processes[slices.IndexFunc(sim.processes, func(e *entryProcess) bool { return e.name == leaving })]
	e.busy = true
	busy := e.open[id]
	for end := sim.now + 3*sim.settings.ShareLease; sim.now < end; {
		if err := sim.step(); err != nil {
			t.Fatal(err)
		}
		if hold := e.client.Budget(e.clock(sim.now), id).Hold; hold < busy {
			t.Fatalf("a former home with %d busy connections may hold %d", busy, hold)
		}
	}
	e.open[id] = 0
	sim.advance(t, 5*time.Second)
	if busy == 0 {
		t.Error("no connection was busy")
	}
	if budget := e.client.Budget(e.clock(sim.now), id); budget.Hold != 0 {
		t.Errorf("an idle former home may hold %d", budget.Hold)
	}
}

func TestFloorsRemainWithoutLeader(t *testing.T) {
	sim := newSimulation(4, faults{}, "")
	sim.advance(t, 10*time.Second)
	sim.faults.loss = 1
	sim.advance(t, 20*time.Second)
	if got := sim.targets(0); slices.Min(got) < 1 || sum(got) >= connections {
		t.Errorf("cut off from the leader: %v", got)
	}
}

func TestNewLeaderConfirmsHeldBudgets(t *testing.T) {
	sim := newSimulation(5, faults{}, "")
	sim.setDemand(t, 0, 0, 12)
	sim.advance(t, 10*time.Second)
	before := sim.targets(0)
	sim.startLeader(false)
	for range 15 {
		sim.advance(t, time.Second)
		if diff := cmp.Diff(before, sim.targets(0)); diff != "" {
			t.Fatalf("the new leader changed the budgets:\n%s", diff)
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
			t.Fatalf("the homes depend on the order of the entries:\n%s", diff)
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

func TestLoweredLimitHoldsOnceConnectionsAreIdle(t *testing.T) {
	sim := newSimulation(6, faults{}, "")
	sim.advance(t, 10*time.Second)
	lowered := slices.Clone(sim.databases)
	lowered[0].Connections = connections / 2
	sim.leader.SetDatabases(lowered)
	sim.advance(t, 10*time.Second)
	if got := sim.targets(0); sum(got) != connections/2 || slices.Min(got) < 1 {
		t.Errorf("after the limit was lowered: %v", got)
	}
}

// Guards against granting connections twice: a database that leaves the inventory and returns still has the connections that
// were leased before.
func TestReaddedDatabaseIsNotGrantedTwice(t *testing.T) {
	sim := newSimulation(7, faults{}, "")
	sim.advance(t, 10*time.Second)
	for _, e := range sim.processes {
		e.cutOffUntil = sim.now + time.Minute
	}
	sim.leader.SetDatabases(sim.databases[1:])
	sim.leader.RemoveExpired(sim.leaderClock())
	sim.advance(t, time.Second)
	sim.leader.SetDatabases(sim.databases)
	// Other entries replace the homes, which still hold their leases.
	before := sim.homesOf(0)
	sim.entries = slices.DeleteFunc(sim.entries, func(e placement.Entry) bool { return slices.Contains(before, e.Name) })
	for i := range 2 {
		name := inventory.InstanceName(fmt.Sprintf("new-%d", i))
		sim.entries = append(sim.entries, placement.Entry{Name: name, DataCentre: "raquira", Region: "andina"})
		sim.startProcess(name)
	}
	sim.leader.SetEntries(sim.entries)
	sim.advance(t, 5*time.Second)
	if got := sum(sim.targets(0)); got != 0 {
		t.Errorf("%d connections were granted in addition to those that were leased before", got)
	}
	sim.advance(t, 2*time.Minute)
	if got := sum(sim.targets(0)); got != connections {
		t.Errorf("after the end of the leases: %d connections", got)
	}
}

func TestRequestIsAnsweredOnce(t *testing.T) {
	sim := newSimulation(8, faults{}, "")
	client := placement.NewLeaseClient(sim.settings, "entry-0", 99)
	request := client.NewRequest(origin, nil)
	if _, answered := sim.leader.Handle(origin, &request); !answered {
		t.Error("a first request was not answered")
	}
	if _, answered := sim.leader.Handle(origin, &request); answered {
		t.Error("a request was answered twice")
	}
}
