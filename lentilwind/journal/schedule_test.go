package journal_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/journal"
)

// step performs one random action; the probabilities differ between schedules.
func (s *simulation) step() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if n.machine == nil {
		if s.random.IntN(1000) < s.probabilities.restart {
			s.start(n)
		}
		return
	}
	choice := s.random.IntN(1000)
	for _, c := range []struct {
		probability int
		action      func()
	}{
		{s.probabilities.crash, func() { s.crash(n) }},
		{s.probabilities.heal, func() { s.blockedLinks = map[link]bool{} }},
		{s.probabilities.partition, s.partition},
		{s.probabilities.changeMembers, func() { s.changeMembers(n) }},
		{s.probabilities.transferOrWipe, func() { s.transferOrWipe(n) }},
		{s.probabilities.propose, func() { s.propose(s.nodes[s.random.IntN(len(s.nodes))]) }},
		{s.probabilities.tick, s.tick},
		{s.probabilities.deliver, s.deliver},
		{1000, func() { s.executeSome(n) }},
	} {
		if choice -= c.probability; choice < 0 {
			c.action()
			return
		}
	}
}

// probabilities are in thousandths; maxBatch, batchBytes and maxTimeStep are limits.
type probabilities struct {
	crash, heal, partition, changeMembers, transferOrWipe, propose, tick, deliver, drop, duplicate, inOrder, maxBatch, restart, retainBlocked, oldestTerm, batchBytes int
	// maxTimeStep bounds the time that passes in one tick.
	maxTimeStep time.Duration
}

func randomProbabilities(random *rand.Rand) probabilities {
	choose := func(choices ...int) int { return choices[random.IntN(len(choices))] }
	return probabilities{
		crash: choose(0, 1, 3, 8), heal: choose(1, 3, 20), partition: choose(0, 1, 4, 20), changeMembers: choose(0, 2, 6, 20), transferOrWipe: choose(0, 1, 4),
		propose: choose(2, 15, 80), tick: choose(50, 150), deliver: choose(300, 450, 550), drop: choose(0, 20, 100), duplicate: choose(0, 20, 300), inOrder: choose(0, 700, 950), maxBatch: choose(2, 10), restart: choose(30, 400), retainBlocked: choose(0, 1000), oldestTerm: choose(0, 100, 980), batchBytes: choose(4, 64),
		maxTimeStep: time.Duration(choose(5, 15, 50)) * time.Millisecond,
	}
}

// partition splits the members into two groups, or blocks random links in one direction.
func (s *simulation) partition() {
	oneWay := s.random.IntN(2) == 0
	side := map[journal.MemberID]int{}
	for _, n := range s.nodes {
		side[n.id] = s.random.IntN(2)
	}
	s.blockedLinks = map[link]bool{}
	for _, from := range s.nodes {
		for _, to := range s.nodes {
			s.blockedLinks[link{from.id, to.id}] = !oneWay && side[from.id] != side[to.id] || oneWay && s.random.IntN(4) == 0
		}
	}
}

// executeSome executes some effects of n, or of another node if n has none pending.
func (s *simulation) executeSome(n *node) {
	for i := range s.nodes {
		if len(n.pending) > 0 {
			break
		}
		n = s.nodes[i]
	}
	for range 1 + s.random.IntN(s.probabilities.maxBatch) {
		s.executeIfPending(n)
	}
}

func (s *simulation) executeIfPending(n *node) {
	if len(n.pending) > 0 {
		s.execute(n)
	}
}

// deliver takes a message out of the network; it may be dropped, or stay there to be delivered again.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := s.random.IntN(len(s.messages))
	switch order := s.random.IntN(1000); {
	case order < s.probabilities.inOrder:
		i = 0
	case order < s.probabilities.oldestTerm:
		i = s.oldestTermMessage()
	}
	msg := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	blocked := s.blockedLinks[link{msg.From, msg.To}]
	if blocked && s.random.IntN(1000) < s.probabilities.retainBlocked || s.random.IntN(1000) < s.probabilities.duplicate {
		s.messages = append(s.messages, msg)
	}
	to := s.find(msg.To)
	if blocked || s.random.IntN(1000) < s.probabilities.drop || to == nil || to.machine == nil {
		return
	}
	newest := to.machine.Term()
	effects := to.machine.Step(s.now(to), msg)
	s.checkStaleTerm(to, newest, msg, effects)
	s.checkVoteAfterStart(to, msg, effects)
	s.handleEffects(to, effects)
}

// oldestTermMessage returns the position of a message with the lowest term.
func (s *simulation) oldestTermMessage() int {
	oldest := 0
	for i, msg := range s.messages {
		if msg.Term < s.messages[oldest].Term {
			oldest = i
		}
	}
	return oldest
}

func (s *simulation) find(id journal.MemberID) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.id == id })
	if i < 0 {
		return nil
	}
	return s.nodes[i]
}

func (s *simulation) tick() {
	s.elapsed += time.Duration(s.random.Int64N(int64(s.probabilities.maxTimeStep)))
	s.checkLease()
	for _, n := range s.nodes {
		if n.machine != nil && !s.now(n).Before(n.machine.Deadline()) && s.random.IntN(4) > 0 {
			s.handleEffects(n, n.machine.Tick(s.now(n)))
		}
	}
}

func (s *simulation) propose(n *node) journal.Index {
	if n.machine == nil {
		return 0
	}
	command := []byte(fmt.Sprintf("%05d", s.random.IntN(1000)))
	position, effects, err := n.machine.Propose(s.now(n), command)
	if err == nil {
		s.handleEffects(n, effects)
	}
	return position.Index
}

func (s *simulation) changeMembers(n *node) {
	membership := n.machine.Membership()
	if n.machine.Role() != journal.RoleLeader {
		return
	}
	candidate := s.nodes[s.random.IntN(len(s.nodes))].id
	change := journal.MembershipChange{Remove: candidate}
	if _, isMember := membership.Find(candidate); !isMember {
		change = journal.MembershipChange{Add: &journal.Member{ID: candidate}}
		if s.random.IntN(2) == 0 {
			change.Add.Replaces = membership.Members[s.random.IntN(len(membership.Members))].ID
		}
	} else if len(membership.Voters()) < 3 {
		return
	}
	if s.wipedMember != 0 && change.Remove != s.wipedMember && (change.Add == nil || change.Add.Replaces != s.wipedMember) {
		return
	}
	if _, effects, err := n.machine.ChangeMembership(s.now(n), change); err == nil {
		s.handleEffects(n, effects)
	}
}

// transferOrWipe transfers the leadership, or permanently loses one member's disk.
func (s *simulation) transferOrWipe(n *node) {
	if s.random.IntN(2) == 0 {
		if effects, begun := n.machine.TransferLeadership(s.now(n)); begun {
			s.handleEffects(n, effects)
		}
		return
	}
	if s.wipedMember != 0 || !s.isDispensable(n) {
		return
	}
	s.wipedMember = n.id
	s.crash(n)
	n.disk = journal.Persisted{}
	if s.reuseMemberID {
		return
	}
	s.nextID++
	n.id = s.nextID
}

// isDispensable reports whether a majority remains without a node under every membership that a node may hold.
func (s *simulation) isDispensable(n *node) bool {
	for _, other := range s.nodes {
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

// run runs one schedule and returns the first violation, or an empty string.
func (s *simulation) run() (failure string) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			failure = fmt.Sprint("panic: ", panicValue)
		}
	}()
	for range stepsPerSchedule {
		s.step()
		if s.failure != "" {
			return s.failure
		}
	}
	return s.healAndAwaitAgreement()
}

// healAndAwaitAgreement ends all faults and checks that the members agree again.
func (s *simulation) healAndAwaitAgreement() string {
	s.blockedLinks = map[link]bool{}
	proposed := journal.Index(0)
	for range 3000 {
		s.elapsed += heartbeat / 4
		for _, n := range s.nodes {
			if n.machine == nil {
				s.start(n)
			}
			if !s.now(n).Before(n.machine.Deadline()) {
				s.handleEffects(n, n.machine.Tick(s.now(n)))
			}
			for len(n.pending) > 0 {
				s.execute(n)
			}
		}
		sent := s.messages
		s.messages = nil
		for _, msg := range sent {
			if to := s.find(msg.To); to != nil {
				s.handleEffects(to, to.machine.Step(s.now(to), msg))
			}
		}
		if s.failure != "" {
			return s.failure
		}
		for _, n := range s.nodes {
			if _, held := n.machine.Lease(s.now(n)); held && (proposed == 0 || n.machine.LastIndex() < proposed) {
				proposed = s.propose(n)
			}
			if proposed != 0 && s.allMembersApplied(n, proposed) {
				return ""
			}
		}
	}
	return noAgreement
}

// allMembersApplied reports whether leader leads and every member of its membership has applied an entry.
func (s *simulation) allMembersApplied(leader *node, index journal.Index) bool {
	if leader.machine.Role() != journal.RoleLeader {
		return false
	}
	for _, member := range leader.machine.Membership().Members {
		if n := s.find(member.ID); n != nil && n.applied < index {
			return false
		}
	}
	return true
}
