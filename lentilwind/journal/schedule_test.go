package journal_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/journal"
)

// step does one thing that may happen at any moment; every schedule has its own odds.
func (b *bag) step() {
	n := b.nodes[b.random.IntN(len(b.nodes))]
	if n.machine == nil {
		if b.random.IntN(1000) < b.odds.restart {
			b.start(n)
		}
		return
	}
	choice := b.random.IntN(1000)
	for _, c := range []struct {
		odds int
		do   func()
	}{
		{b.odds.crash, func() { b.crash(n) }},
		{b.odds.heal, func() { b.cut = map[path]bool{} }},
		{b.odds.cut, b.partition},
		{b.odds.change, func() { b.changeMembers(n) }},
		{b.odds.transfer, func() { b.transferOrWipe(n) }},
		{b.odds.propose, func() { b.propose(b.nodes[b.random.IntN(len(b.nodes))]) }},
		{b.odds.tick, b.tick},
		{b.odds.deliver, b.deliver},
		{1000, func() { b.carryOutSome(n) }},
	} {
		if choice -= c.odds; choice < 0 {
			c.do()
			return
		}
	}
}

// odds are chances in a thousand, save for pace.
type odds struct {
	crash, heal, cut, change, transfer, propose, tick, deliver, lose, repeat, orderly, batch, restart, hold, late, batchBytes int
	// pace bounds the time that passes at once.
	pace time.Duration
}

func drawOdds(random *rand.Rand) odds {
	pick := func(choices ...int) int { return choices[random.IntN(len(choices))] }
	return odds{
		crash: pick(0, 1, 3, 8), heal: pick(1, 3, 20), cut: pick(0, 1, 4, 20), change: pick(0, 2, 6, 20), transfer: pick(0, 1, 4),
		propose: pick(2, 15, 80), tick: pick(50, 150), deliver: pick(300, 450, 550), lose: pick(0, 20, 100), repeat: pick(0, 20, 300), orderly: pick(0, 700, 950), batch: pick(2, 10), restart: pick(30, 400), hold: pick(0, 1000), late: pick(0, 100, 980), batchBytes: pick(4, 64),
		pace: time.Duration(pick(5, 15, 50)) * time.Millisecond,
	}
}

// partition splits the members in two, or cuts single links in one direction.
func (b *bag) partition() {
	oneWay := b.random.IntN(2) == 0
	side := map[journal.MemberID]int{}
	for _, n := range b.nodes {
		side[n.id] = b.random.IntN(2)
	}
	b.cut = map[path]bool{}
	for _, from := range b.nodes {
		for _, to := range b.nodes {
			b.cut[path{from.id, to.id}] = !oneWay && side[from.id] != side[to.id] || oneWay && b.random.IntN(4) == 0
		}
	}
}

// carryOutSome lets a node with waiting effects do some of them.
func (b *bag) carryOutSome(n *node) {
	for i := range b.nodes {
		if len(n.queue) > 0 {
			break
		}
		n = b.nodes[i]
	}
	for range 1 + b.random.IntN(b.odds.batch) {
		b.carryOutNext(n)
	}
}

func (b *bag) carryOutNext(n *node) {
	if len(n.queue) > 0 {
		b.carryOut(n)
	}
}

// deliver takes a message out of the bag; it may be lost, or stay there to arrive again.
func (b *bag) deliver() {
	if len(b.messages) == 0 {
		return
	}
	i := b.random.IntN(len(b.messages))
	switch order := b.random.IntN(1000); {
	case order < b.odds.orderly:
		i = 0
	case order < b.odds.late:
		i = b.oldestTerm()
	}
	msg := b.messages[i]
	b.messages = slices.Delete(b.messages, i, i+1)
	cut := b.cut[path{msg.From, msg.To}]
	if cut && b.random.IntN(1000) < b.odds.hold || b.random.IntN(1000) < b.odds.repeat {
		b.messages = append(b.messages, msg)
	}
	to := b.find(msg.To)
	if cut || b.random.IntN(1000) < b.odds.lose || to == nil || to.machine == nil {
		return
	}
	newest := to.machine.Term()
	effects := to.machine.Step(b.now(to), msg)
	b.checkTerm(to, newest, msg, effects)
	b.checkLoyalty(to, msg, effects)
	b.take(to, effects)
}

// oldestTerm returns the place of a message of the lowest term.
func (b *bag) oldestTerm() int {
	oldest := 0
	for i, msg := range b.messages {
		if msg.Term < b.messages[oldest].Term {
			oldest = i
		}
	}
	return oldest
}

func (b *bag) find(id journal.MemberID) *node {
	i := slices.IndexFunc(b.nodes, func(n *node) bool { return n.id == id })
	if i < 0 {
		return nil
	}
	return b.nodes[i]
}

func (b *bag) tick() {
	b.elapsed += time.Duration(b.random.Int64N(int64(b.odds.pace)))
	b.checkLease()
	for _, n := range b.nodes {
		if n.machine != nil && !b.now(n).Before(n.machine.Deadline()) && b.random.IntN(4) > 0 {
			b.take(n, n.machine.Tick(b.now(n)))
		}
	}
}

func (b *bag) propose(n *node) journal.Index {
	if n.machine == nil {
		return 0
	}
	command := []byte(fmt.Sprintf("%05d", b.random.IntN(1000)))
	position, effects, err := n.machine.Propose(b.now(n), command)
	if err == nil {
		b.take(n, effects)
	}
	return position.Index
}

func (b *bag) changeMembers(n *node) {
	membership := n.machine.Membership()
	if n.machine.Role() != journal.RoleLeader {
		return
	}
	spare := b.nodes[b.random.IntN(len(b.nodes))].id
	change := journal.MembershipChange{Remove: spare}
	if _, isMember := membership.Find(spare); !isMember {
		change = journal.MembershipChange{Add: &journal.Member{ID: spare}}
		if b.random.IntN(2) == 0 {
			change.Add.Replaces = membership.Members[b.random.IntN(len(membership.Members))].ID
		}
	} else if len(membership.Voters()) < 3 {
		return
	}
	if b.wiped != 0 && change.Remove != b.wiped && (change.Add == nil || change.Add.Replaces != b.wiped) {
		return
	}
	if _, effects, err := n.machine.ChangeMembership(b.now(n), change); err == nil {
		b.take(n, effects)
	}
}

// transferOrWipe hands the leadership over or loses one member's disk for good.
func (b *bag) transferOrWipe(n *node) {
	if b.random.IntN(2) == 0 {
		if effects, begun := n.machine.TransferLeadership(b.now(n)); begun {
			b.take(n, effects)
		}
		return
	}
	if b.wiped != 0 || !b.isSpared(n) {
		return
	}
	b.wiped = n.id
	b.crash(n)
	n.disk = journal.Persisted{}
	if b.reuseID {
		return
	}
	b.nextID++
	n.id = b.nextID
}

// isSpared tells whether a majority is left without a node, whichever of the known memberships holds.
func (b *bag) isSpared(n *node) bool {
	for _, other := range b.nodes {
		if other.machine == nil {
			return false
		}
		membership := other.machine.Membership()
		replacing := slices.ContainsFunc(membership.Members, func(m journal.Member) bool { return m.Replaces != 0 })
		if replacing || len(membership.Members) > 0 && (len(membership.Voters()) < 3 || !cmp.Equal(membership, n.machine.Membership())) {
			return false
		}
	}
	return true
}

// run plays one schedule and returns what was broken.
func (b *bag) run() (failure string) {
	defer func() {
		if broken := recover(); broken != nil {
			failure = fmt.Sprint("stopped: ", broken)
		}
	}()
	for range steps {
		b.step()
		if b.failure != "" {
			return b.failure
		}
	}
	return b.settle()
}

// settle ends all faults and checks that the members agree again.
func (b *bag) settle() string {
	b.cut = map[path]bool{}
	proposed := journal.Index(0)
	for range 3000 {
		b.elapsed += heartbeat / 4
		for _, n := range b.nodes {
			if n.machine == nil {
				b.start(n)
			}
			if !b.now(n).Before(n.machine.Deadline()) {
				b.take(n, n.machine.Tick(b.now(n)))
			}
			for len(n.queue) > 0 {
				b.carryOut(n)
			}
		}
		sent := b.messages
		b.messages = nil
		for _, msg := range sent {
			if to := b.find(msg.To); to != nil {
				b.take(to, to.machine.Step(b.now(to), msg))
			}
		}
		if b.failure != "" {
			return b.failure
		}
		for _, n := range b.nodes {
			if _, held := n.machine.Lease(b.now(n)); held && (proposed == 0 || n.machine.LastIndex() < proposed) {
				proposed = b.propose(n)
			}
			if proposed != 0 && b.agreed(n, proposed) {
				return ""
			}
		}
	}
	return noAgreement
}

// agreed tells whether every member of a leader's membership has applied an entry.
func (b *bag) agreed(leader *node, index journal.Index) bool {
	if leader.machine.Role() != journal.RoleLeader {
		return false
	}
	for _, member := range leader.machine.Membership().Members {
		if n := b.find(member.ID); n != nil && n.applied < index {
			return false
		}
	}
	return true
}
