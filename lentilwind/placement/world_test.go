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
	worldStep   = 100 * time.Millisecond
	connections = 20
	askPeriod   = time.Second
	// electionTime is how long no leader answers after one has ended.
	electionTime = time.Second
)

var origin = time.Unix(1_000_000, 0)

func worldSettings() placement.Settings {
	s := placement.DefaultSettings()
	s.FloorLease = time.Minute
	return s
}

// flaw is a broken variant of the protocol that the world plays; the empty one is the protocol itself.
type flaw string

const (
	// noDrift leases to the entries for longer than the leader waits.
	noDrift flaw = "noDrift"
	// neverBlind lets a new leader grant as if it had no predecessor.
	neverBlind flaw = "neverBlind"
	// lateReplies lets entries use replies to earlier requests.
	lateReplies flaw = "lateReplies"
	// oldRequests lets the leader answer requests in the order of their arrival.
	oldRequests flaw = "oldRequests"
	// sharedLives lets a restarted entry take over what its earlier life holds.
	sharedLives flaw = "sharedLives"
)

// faults is how badly the world treats messages and processes.
type faults struct {
	loss      float64
	delay     time.Duration
	restart   float64
	newLeader float64
	cutOff    float64
}

// message is a request on its way to a leader, or a reply on its way back.
type message struct {
	at      time.Duration
	life    int
	request placement.Request
	reply   *placement.Reply
}

// entryLife is one life of an entry; an earlier life may linger when only its name has been taken over.
type entryLife struct {
	name   inventory.InstanceName
	keeper *placement.LeaseClient
	rate   float64
	open   map[group.ServerID]int
	demand map[group.ServerID]int
	asked  time.Duration
	newest uint64
	ended  bool
	// busy entries close no connection of themselves.
	busy bool
	// cutUntil ends a time in which the entry and the leader do not hear each other.
	cutUntil time.Duration
}

func (e *entryLife) clock(now time.Duration) time.Time {
	return origin.Add(time.Duration(float64(now) * e.rate))
}

type world struct {
	rng         *rand.Rand
	settings    placement.Settings
	flaw        flaw
	faults      faults
	now         time.Duration
	databases   []placement.Database
	names       []placement.Entry
	lives       []*entryLife
	messages    []message
	leader      *placement.Leader
	leaderRate  float64
	leaderFrom  time.Duration
	incarnation protocol.Incarnation
	granted     int
}

func newWorld(seed uint64, f faults, broken flaw) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), settings: worldSettings(), flaw: broken, faults: f}
	for i := range 2 {
		w.databases = append(w.databases, placement.Database{
			ID:         group.ServerID{Service: "inventario-1", Server: group.Server(fmt.Sprintf("db-%d", i))},
			DataCentre: "raquira", Region: "andina", Connections: connections,
		})
	}
	for i := range 5 {
		name := inventory.InstanceName(fmt.Sprintf("entry-%d", i))
		w.names = append(w.names, placement.Entry{Name: name, DataCentre: "raquira", Region: "andina"})
		w.startLife(name)
	}
	w.startLeader(true)
	return w
}

// rate returns the speed of a clock; no two differ by more than the allowed drift.
func (w *world) rate() float64 { return 1 + 0.1*w.rng.Float64() }

func (w *world) startLife(name inventory.InstanceName) {
	w.incarnation++
	w.lives = append(w.lives, &entryLife{
		name: name, keeper: placement.NewLeaseClient(w.settings, name, w.incarnation), rate: w.rate(),
		open: make(map[group.ServerID]int), demand: make(map[group.ServerID]int), asked: w.now - askPeriod,
	})
}

func (w *world) leaderClock() time.Time {
	return origin.Add(time.Duration(float64(w.now) * w.leaderRate))
}

func (w *world) startLeader(fresh bool) {
	w.leaderRate = w.rate()
	w.leaderFrom = w.now
	if !fresh {
		w.leaderFrom += electionTime
	}
	start := origin.Add(time.Duration(float64(w.leaderFrom) * w.leaderRate))
	w.leader = placement.NewLeader(w.settings, start, fresh || w.flaw == neverBlind)
	w.leader.SetDatabases(w.databases)
	w.leader.SetEntries(w.names)
}

// step lets one step of time pass and returns a broken limit, if any.
func (w *world) step() error {
	w.now += worldStep
	w.disturb()
	w.deliver()
	for i, e := range w.lives {
		if !e.ended {
			w.use(e)
			w.ask(i, e)
		}
	}
	return w.check()
}

// longestCut bounds how long an entry is cut off.
const longestCut = 30 * time.Second

// disturb ends lives and leaders, cuts entries off, and changes which entries the leader holds for live.
func (w *world) disturb() {
	if w.rng.Float64() < w.faults.newLeader {
		w.startLeader(false)
	}
	if w.rng.Float64() < w.faults.restart {
		at := len(w.lives) - 1 - w.rng.IntN(min(len(w.lives), 5))
		old := w.lives[at]
		// The old process may be cut off and go on beside the one that takes its name.
		old.ended = w.rng.IntN(2) == 0
		w.startLife(old.name)
	}
	if w.rng.Float64() < w.faults.cutOff {
		w.lives[w.rng.IntN(len(w.lives))].cutUntil = w.now + time.Duration(w.rng.Int64N(int64(longestCut)))
	}
	if w.rng.Float64() < w.faults.restart {
		live := slices.Clone(w.names)
		w.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		w.leader.SetEntries(live[:2+w.rng.IntN(len(live)-1)])
	}
}

func (w *world) delay() time.Duration {
	if w.rng.IntN(3) > 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(w.faults.delay) + 1))
}

func (w *world) send(m message) {
	if w.now >= w.lives[m.life].cutUntil && w.rng.Float64() >= w.faults.loss {
		m.at = w.now + w.delay()
		w.messages = append(w.messages, m)
	}
}

func (w *world) deliver() {
	var due, later []message
	for _, m := range w.messages {
		if m.at > w.now {
			later = append(later, m)
			continue
		}
		due = append(due, m)
	}
	w.messages = later
	for _, m := range due {
		if m.reply != nil {
			w.receive(m)
			continue
		}
		w.handle(m)
	}
}

func (w *world) handle(m message) {
	if w.now < w.leaderFrom {
		return
	}
	if w.flaw == oldRequests {
		w.incarnation++
		m.request.ID += uint64(w.incarnation) << 32
	}
	if w.flaw == sharedLives {
		m.request.ID += uint64(m.request.Incarnation) << 32
		m.request.Incarnation = 1
	}
	reply, answered := w.leader.Handle(w.leaderClock(), &m.request)
	if !answered {
		return
	}
	reply.ID &= 1<<32 - 1
	if w.flaw == noDrift {
		reply.ShareLease += reply.ShareLease / 5
	}
	w.send(message{life: m.life, reply: &reply})
}

func (w *world) receive(m message) {
	e := w.lives[m.life]
	if w.flaw == lateReplies {
		m.reply.ID = e.newest
	}
	if !e.ended && e.keeper.HandleReply(m.reply) {
		w.granted++
	}
}

// use opens and closes connections as callers come and go, never beyond the budget.
func (w *world) use(e *entryLife) {
	for i := range w.databases {
		id := w.databases[i].ID
		budget := e.keeper.Budget(e.clock(w.now), id)
		want := e.demand[id]
		switch open := e.open[id]; {
		case open > budget.Hold:
			e.open[id] = budget.Hold
		case open < min(want, budget.Target):
			e.open[id]++
		case !e.busy && open > min(want, budget.Target) && w.rng.IntN(4) == 0:
			e.open[id]--
		}
	}
}

func (w *world) ask(life int, e *entryLife) {
	if w.now-e.asked < askPeriod {
		return
	}
	e.asked = w.now
	usages := make([]placement.Usage, 0, len(w.databases))
	for i := range w.databases {
		id := w.databases[i].ID
		usages = append(usages, placement.Usage{Database: id, Open: e.open[id], Demand: e.demand[id]})
	}
	request := e.keeper.NewRequest(e.clock(w.now), usages)
	e.newest = request.ID
	w.send(message{life: life, request: request})
}

// check compares what all lives may hold together with the limit.
func (w *world) check() error {
	for i := range w.databases {
		id := w.databases[i].ID
		sum := 0
		for _, e := range w.lives {
			if e.ended {
				continue
			}
			budget := e.keeper.Budget(e.clock(w.now), id)
			sum += budget.Hold
		}
		if sum > connections {
			return fmt.Errorf("%v: budgets of %d connections to %s, the limit is %d", w.now, sum, id.Server, connections)
		}
	}
	return nil
}
