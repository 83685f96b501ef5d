package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	simulationStep  = 100 * time.Millisecond
	connections     = 20
	requestInterval = time.Second
	// electionTime is how long no leader answers after one has ended.
	electionTime = time.Second
)

var origin = time.Unix(1_000_000, 0)

func simulationSettings() placement.Settings {
	s := placement.DefaultSettings()
	s.FloorLease = time.Minute
	return s
}

// variant is a deliberately broken variant of the protocol; the empty one is the protocol itself.
type variant string

const (
	// ignoreDrift gives the entries longer leases than the leader waits for.
	ignoreDrift variant = "ignoreDrift"
	// skipRecovery lets a new leader grant as if there had been no earlier one.
	skipRecovery variant = "skipRecovery"
	// acceptLateReplies lets entries apply replies to earlier requests.
	acceptLateReplies variant = "acceptLateReplies"
	// acceptOldRequests lets the leader answer requests that are older than the last one.
	acceptOldRequests variant = "acceptOldRequests"
	// shareIncarnations lets a restarted entry take over the leases of its previous incarnation.
	shareIncarnations variant = "shareIncarnations"
)

// faults holds the probabilities of the injected faults, per message or step, and the largest delay of a message.
type faults struct {
	loss      float64
	delay     time.Duration
	restart   float64
	newLeader float64
	cutOff    float64
}

// message is a request under way to a leader, or a reply under way back.
type message struct {
	at      time.Duration
	process int
	request placement.Request
	reply   *placement.Reply
}

// entryProcess is one incarnation of an entry. An earlier one may keep running while a new one has its name.
type entryProcess struct {
	name          inventory.InstanceName
	client        *placement.LeaseClient
	clockRate     float64
	open          map[group.ServerID]int
	demand        map[group.ServerID]int
	lastRequestAt time.Duration
	lastRequestID uint64
	stopped       bool
	// busy processes close no connections on their own.
	busy bool
	// cutOffUntil is the time until which messages to and from the leader get lost.
	cutOffUntil time.Duration
}

func (e *entryProcess) clock(now time.Duration) time.Time {
	return origin.Add(time.Duration(float64(now) * e.clockRate))
}

type simulation struct {
	rng             *rand.Rand
	settings        placement.Settings
	variant         variant
	faults          faults
	now             time.Duration
	databases       []placement.Database
	entries         []placement.Entry
	processes       []*entryProcess
	messages        []message
	leader          *placement.Leader
	leaderClockRate float64
	leaderStart     time.Duration
	incarnation     protocol.Incarnation
	appliedReplies  int
}

func newSimulation(seed uint64, f faults, v variant) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), settings: simulationSettings(), variant: v, faults: f}
	for i := range 2 {
		sim.databases = append(sim.databases, placement.Database{
			ID:         group.ServerID{Service: "inventario-1", Server: group.Server(fmt.Sprintf("db-%d", i))},
			DataCentre: "raquira", Region: "andina", Connections: connections,
		})
	}
	for i := range 5 {
		name := inventory.InstanceName(fmt.Sprintf("entry-%d", i))
		sim.entries = append(sim.entries, placement.Entry{Name: name, DataCentre: "raquira", Region: "andina"})
		sim.startProcess(name)
	}
	sim.startLeader(true)
	return sim
}

// newClockRate returns the speed of a clock. No two differ by more than the allowed drift.
func (sim *simulation) newClockRate() float64 { return 1 + 0.1*sim.rng.Float64() }

func (sim *simulation) startProcess(name inventory.InstanceName) {
	sim.incarnation++
	sim.processes = append(sim.processes, &entryProcess{
		name: name, client: placement.NewLeaseClient(sim.settings, name, sim.incarnation), clockRate: sim.newClockRate(),
		open: make(map[group.ServerID]int), demand: make(map[group.ServerID]int), lastRequestAt: sim.now - requestInterval,
	})
}

func (sim *simulation) leaderClock() time.Time {
	return origin.Add(time.Duration(float64(sim.now) * sim.leaderClockRate))
}

func (sim *simulation) startLeader(first bool) {
	sim.leaderClockRate = sim.newClockRate()
	sim.leaderStart = sim.now
	if !first {
		sim.leaderStart += electionTime
	}
	start := origin.Add(time.Duration(float64(sim.leaderStart) * sim.leaderClockRate))
	sim.leader = placement.NewLeader(sim.settings, start, first || sim.variant == skipRecovery)
	sim.leader.SetDatabases(sim.databases)
	sim.leader.SetEntries(sim.entries)
}

// step simulates one time step and returns an error if a limit is exceeded.
func (sim *simulation) step() error {
	sim.now += simulationStep
	sim.injectFaults()
	sim.deliver()
	for i, e := range sim.processes {
		if !e.stopped {
			sim.updateConnections(e)
			sim.sendRequest(i, e)
		}
	}
	return sim.checkLimits()
}

// maxCutOff bounds how long an entry is cut off.
const maxCutOff = 30 * time.Second

// injectFaults restarts entries and leaders, cuts entries off, and changes which entries the leader regards as live.
func (sim *simulation) injectFaults() {
	if sim.rng.Float64() < sim.faults.newLeader {
		sim.startLeader(false)
	}
	if sim.rng.Float64() < sim.faults.restart {
		i := len(sim.processes) - 1 - sim.rng.IntN(min(len(sim.processes), 5))
		old := sim.processes[i]
		// The old process may keep running, cut off, beside the one that takes its name.
		old.stopped = sim.rng.IntN(2) == 0
		sim.startProcess(old.name)
	}
	if sim.rng.Float64() < sim.faults.cutOff {
		sim.processes[sim.rng.IntN(len(sim.processes))].cutOffUntil = sim.now + time.Duration(sim.rng.Int64N(int64(maxCutOff)))
	}
	if sim.rng.Float64() < sim.faults.restart {
		live := slices.Clone(sim.entries)
		sim.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		sim.leader.SetEntries(live[:2+sim.rng.IntN(len(live)-1)])
	}
}

func (sim *simulation) delay() time.Duration {
	if sim.rng.IntN(3) > 0 {
		return 0
	}
	return time.Duration(sim.rng.Int64N(int64(sim.faults.delay) + 1))
}

func (sim *simulation) send(m message) {
	if sim.now >= sim.processes[m.process].cutOffUntil && sim.rng.Float64() >= sim.faults.loss {
		m.at = sim.now + sim.delay()
		sim.messages = append(sim.messages, m)
	}
}

func (sim *simulation) deliver() {
	var due, later []message
	for _, m := range sim.messages {
		if m.at > sim.now {
			later = append(later, m)
			continue
		}
		due = append(due, m)
	}
	sim.messages = later
	for _, m := range due {
		if m.reply != nil {
			sim.receive(m)
			continue
		}
		sim.handle(m)
	}
}

func (sim *simulation) handle(m message) {
	if sim.now < sim.leaderStart {
		return
	}
	if sim.variant == acceptOldRequests {
		sim.incarnation++
		m.request.ID += uint64(sim.incarnation) << 32
	}
	if sim.variant == shareIncarnations {
		m.request.ID += uint64(m.request.Incarnation) << 32
		m.request.Incarnation = 1
	}
	reply, answered := sim.leader.Handle(sim.leaderClock(), &m.request)
	if !answered {
		return
	}
	reply.ID &= 1<<32 - 1
	if sim.variant == ignoreDrift {
		reply.ShareLease += reply.ShareLease / 5
	}
	sim.send(message{process: m.process, reply: &reply})
}

func (sim *simulation) receive(m message) {
	e := sim.processes[m.process]
	if sim.variant == acceptLateReplies {
		m.reply.ID = e.lastRequestID
	}
	if !e.stopped && e.client.HandleReply(m.reply) {
		sim.appliedReplies++
	}
}

// updateConnections opens and closes connections as demand changes, never beyond the budget.
func (sim *simulation) updateConnections(e *entryProcess) {
	for i := range sim.databases {
		id := sim.databases[i].ID
		budget := e.client.Budget(e.clock(sim.now), id)
		want := e.demand[id]
		switch open := e.open[id]; {
		case open > budget.Hold:
			e.open[id] = budget.Hold
		case open < min(want, budget.Target):
			e.open[id]++
		case !e.busy && open > min(want, budget.Target) && sim.rng.IntN(4) == 0:
			e.open[id]--
		}
	}
}

func (sim *simulation) sendRequest(process int, e *entryProcess) {
	if sim.now-e.lastRequestAt < requestInterval {
		return
	}
	e.lastRequestAt = sim.now
	usages := make([]placement.Usage, 0, len(sim.databases))
	for i := range sim.databases {
		id := sim.databases[i].ID
		usages = append(usages, placement.Usage{Database: id, Open: e.open[id], Demand: e.demand[id]})
	}
	request := e.client.NewRequest(e.clock(sim.now), usages)
	e.lastRequestID = request.ID
	sim.send(message{process: process, request: request})
}

// checkLimits compares the sum of all budgets with the limit.
func (sim *simulation) checkLimits() error {
	for i := range sim.databases {
		id := sim.databases[i].ID
		sum := 0
		for _, e := range sim.processes {
			if e.stopped {
				continue
			}
			budget := e.client.Budget(e.clock(sim.now), id)
			sum += budget.Hold
		}
		if sum > connections {
			return fmt.Errorf("%v: budgets of %d connections to %s, the limit is %d", sim.now, sum, id.Server, connections)
		}
	}
	return nil
}
