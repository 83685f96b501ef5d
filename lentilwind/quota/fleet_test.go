package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

const (
	step         = time.Millisecond
	roundTimeout = 100 * time.Millisecond
	// reservePeriod is the time between two looks at reserves.
	reservePeriod = 20 * time.Millisecond
)

var origin = time.Unix(1_000_000, 0)

// workspaceLoad is one workspace with the oracle of its limits.
type workspaceLoad struct {
	name   inventory.WorkspaceName
	limits quota.Limits
	// used is the level of a bucket that fills with each admission; beyond the burst some window has too many.
	used, ideal       float64
	usedAt, idealAt   time.Duration
	sent, admitted    int
	refused, idealFor int
	worst             float64
}

func (w *workspaceLoad) arrive(now time.Duration) {
	w.sent++
	w.ideal = min(w.limits.Burst, w.ideal+w.limits.Rate*(now-w.idealAt).Seconds())
	w.idealAt = now
	if w.ideal >= 1 {
		w.ideal--
		w.idealFor++
	}
}

func (w *workspaceLoad) admit(now time.Duration) {
	w.admitted++
	w.used = max(0, w.used-w.limits.Rate*(now-w.usedAt).Seconds()) + 1
	w.usedAt = now
	w.worst = max(w.worst, w.used-w.limits.Burst)
}

// wrongful is the number of refusals beyond those of one exact bucket for the whole fleet.
func (w *workspaceLoad) wrongful() int { return max(0, w.idealFor-w.admitted) }

type entryNode struct {
	machine *quota.Entry[int]
	drift   float64
	round   *quota.PendingDraw[int]
	sentAt  time.Duration
	// A deaf entry's requests arrive and the answers get lost; a cut-off entry's requests get lost too.
	cut, deaf bool
}

type message struct {
	at   time.Duration
	call func()
}

// fleet runs entries and one leader at a time over a network with delays, losses and drifting clocks.
type fleet struct {
	rng        *rand.Rand
	now        time.Duration
	settings   quota.Settings
	workspaces []*workspaceLoad
	names      []inventory.InstanceName
	entries    []*entryNode
	leader     *quota.Leader
	term       uint64
	messages   []message
	delay      func() time.Duration
	requests   int
	// held is what the journal holds, proposals what may come to it, in this order.
	held      quota.Reserves
	proposals []quota.Reserves
	// reserving makes the leader keep reserves.
	reserving bool
	// shaky makes the journal lose some proposals and delay others.
	shaky bool
	// headless is true while no leader answers.
	headless bool
}

func newFleet(seed uint64, entries int, drift func() float64, workspaces ...*workspaceLoad) *fleet {
	return newFleetWith(quota.DefaultSettings(), seed, entries, drift, workspaces...)
}

func newFleetWith(settings quota.Settings, seed uint64, entries int, drift func() float64, workspaces ...*workspaceLoad) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), settings: settings, workspaces: workspaces}
	f.delay = func() time.Duration {
		return 200*time.Microsecond + time.Duration(f.rng.Int64N(int64(800*time.Microsecond)))
	}
	for i := range entries {
		name := inventory.InstanceName(fmt.Sprintf("entry-%d", i))
		f.names = append(f.names, name)
		node := &entryNode{drift: drift()}
		node.machine = quota.NewEntry[int](f.settings, name, node.clock(0))
		f.entries = append(f.entries, node)
	}
	f.elect()
	return f
}

func (n *entryNode) clock(now time.Duration) time.Time {
	return origin.Add(time.Duration(float64(now) * (1 + n.drift)))
}

// elect starts a new leader, whose clock keeps true time.
//
// Of the proposals that are under way some may still get into the journal, in their order.
func (f *fleet) elect() {
	f.term++
	for _, r := range f.proposals[:f.rng.IntN(len(f.proposals)+1)] {
		f.held = r
	}
	f.proposals = nil
	f.leader = quota.NewLeader(f.settings, f.term, f.held, origin.Add(f.now))
	var workspaces []inventory.Workspace
	for _, w := range f.workspaces {
		workspaces = append(workspaces, inventory.Workspace{Name: w.name, Rate: w.limits.Rate, Burst: w.limits.Burst})
	}
	f.leader.Configure(workspaces, f.names, origin.Add(f.now))
}

// reserve has the leader propose what it reserves, and the journal take proposals in.
func (f *fleet) reserve() {
	if !f.reserving || f.headless || f.now%reservePeriod != 0 {
		return
	}
	now := origin.Add(f.now)
	if len(f.proposals) > 0 && (!f.shaky || f.rng.IntN(2) == 0) {
		f.held, f.proposals = f.proposals[0], f.proposals[1:]
	}
	f.leader.ReservesStored(f.held)
	if len(f.proposals) > 0 {
		return
	}
	if r, ok := f.leader.ProposeReserves(now); ok && (!f.shaky || f.rng.IntN(4) > 0) {
		f.proposals = append(f.proposals, r)
	}
}

func (f *fleet) after(delay time.Duration, call func()) {
	f.messages = append(f.messages, message{at: f.now + delay, call: call})
}

// run moves time on and calls what is due; load sends the requests of a step.
func (f *fleet) run(until time.Duration, load func()) {
	for ; f.now < until; f.now += step {
		due := slices.DeleteFunc(slices.Clone(f.messages), func(m message) bool { return m.at > f.now })
		f.messages = slices.DeleteFunc(f.messages, func(m message) bool { return m.at <= f.now })
		for _, m := range due {
			m.call()
		}
		load()
		f.reserve()
		for _, node := range f.entries {
			f.tick(node)
		}
	}
}

func (f *fleet) tick(node *entryNode) {
	at := node.clock(f.now)
	f.settle(node.machine.Expire(at))
	if node.round != nil && f.now-node.sentAt < roundTimeout {
		return
	}
	if node.round = node.machine.NextDraw(at); node.round == nil {
		return
	}
	node.sentAt = f.now
	f.requests++
	f.send(node, node.round)
}

func (f *fleet) send(node *entryNode, round *quota.PendingDraw[int]) {
	if node.cut || f.headless {
		return
	}
	f.after(f.delay(), func() {
		reply := f.leader.HandleDraw(&round.Request, origin.Add(f.now))
		if node.cut || node.deaf {
			return
		}
		f.after(f.delay(), func() { f.receive(node, round, &reply) })
	})
}

func (f *fleet) receive(node *entryNode, round *quota.PendingDraw[int], reply *protocol.DrawReply) {
	if node.round != round {
		return
	}
	node.round = nil
	f.settle(node.machine.HandleReply(round, reply, node.clock(f.now)))
}

func (f *fleet) settle(settled []quota.Result[int]) {
	for _, s := range settled {
		if s.Admitted {
			f.workspaces[s.Value].admit(f.now)
		} else {
			f.workspaces[s.Value].refused++
		}
	}
}

// request sends one request of a workspace to an entry.
func (f *fleet) request(workspace, entry int) {
	w, node := f.workspaces[workspace], f.entries[entry]
	w.arrive(f.now)
	at := node.clock(f.now)
	a := node.machine.Limiter(w.name, w.limits, at)
	if a.Admit(at) {
		w.admit(f.now)
		return
	}
	switch decision, _ := node.machine.Enqueue(a, workspace, at); decision {
	case quota.Admitted:
		w.admit(f.now)
	case quota.Refused:
		w.refused++
	}
}
