package journal

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/protocol"
)

// promoteLag is how many entries a learner may lack to be counted.
const promoteLag = 16

// MembershipChange adds or removes one member; exactly one field is set.
type MembershipChange struct {
	// Add brings in a member as a learner; it counts once it has caught up.
	Add *Member
	// Remove takes a member out.
	Remove MemberID
}

// MembershipChangeError refuses a change of the members.
type MembershipChangeError struct {
	Message string
}

// Error formats the refusal.
func (e *MembershipChangeError) Error() string { return "journal: " + e.Message }

// ChangeMembership begins a change of the members; it is final once its entry is committed.
func (m *Machine) ChangeMembership(now time.Time, change MembershipChange) (Position, []Effect, error) {
	if m.role != RoleLeader || m.lead.transfer != nil {
		return Position{}, nil, &NotLeaderError{Leader: m.leader}
	}
	next, err := m.changed(now, change)
	if err != nil {
		return Position{}, nil, err
	}
	position := m.setMembership(now, next)
	return position, m.take(), nil
}

func (m *Machine) changed(now time.Time, change MembershipChange) (Membership, error) {
	current := m.Membership()
	if !m.mayChangeMembers() {
		return Membership{}, &MembershipChangeError{Message: "another change of the members is under way; try again"}
	}
	if change.Add != nil {
		return m.added(current, *change.Add)
	}
	if _, found := current.Find(change.Remove); !found {
		return Membership{}, &MembershipChangeError{Message: fmt.Sprintf("there is no member %d", change.Remove)}
	}
	if change.Remove == m.cfg.ID {
		return Membership{}, &MembershipChangeError{Message: "the leader cannot remove itself; hand over the leadership first"}
	}
	if !m.isSafeWithout(now, change.Remove) {
		return Membership{}, &MembershipChangeError{Message: "without this member too few of the others would answer; repair them first"}
	}
	return current.without(change.Remove), nil
}

// isSafeWithout tells whether a majority of the voters that remain without a member answers now.
func (m *Machine) isSafeWithout(now time.Time, id MemberID) bool {
	voters := m.Membership().without(id).Voters()
	answering := 0
	for _, voter := range voters {
		if voter == m.cfg.ID || m.answers(now, voter) {
			answering++
		}
	}
	return answering > len(voters)/2
}

// answers tells whether another member has answered lately.
func (m *Machine) answers(now time.Time, id MemberID) bool {
	p := m.lead.peers[id]
	return p != nil && now.Sub(p.acked) < m.cfg.ElectionTimeout
}

func (m *Machine) added(current Membership, member Member) (Membership, error) {
	if _, found := current.Find(member.ID); found || member.ID == 0 {
		return Membership{}, &MembershipChangeError{Message: fmt.Sprintf("member %d cannot be added again", member.ID)}
	}
	if _, found := current.Find(member.Replaces); !found && member.Replaces != 0 {
		return Membership{}, &MembershipChangeError{Message: fmt.Sprintf("there is no member %d to replace", member.Replaces)}
	}
	member.Learner = true
	return current.with(member), nil
}

// mayChangeMembers tells whether the last change is final; two at once could give two majorities that do not meet.
func (m *Machine) mayChangeMembers() bool {
	_, since := m.log.membership()
	return m.commit >= m.lead.begin && m.commit >= since
}

func (m *Machine) setMembership(now time.Time, next Membership) Position {
	data, err := protocol.Encode(next)
	if err != nil {
		panic(err.Error())
	}
	entry := Entry{Index: m.log.last() + 1, Term: m.hard.Term, Kind: EntryMembership, Data: data}
	m.replicate(now, entry)
	return Position{Index: entry.Index, Term: entry.Term}
}

// reconcileMembers counts a learner that has caught up and removes the member that it replaces.
func (m *Machine) reconcileMembers(now time.Time) {
	if m.role != RoleLeader || m.lead.transfer != nil || !m.mayChangeMembers() {
		return
	}
	current := m.Membership()
	for _, member := range current.Members {
		switch {
		case member.Learner && m.caughtUp(now, member.ID):
			member.Learner = false
			m.setMembership(now, current.with(member))
			return
		case !member.Learner && member.Replaces != 0:
			m.completeReplacement(now, current, member)
			return
		}
	}
}

func (m *Machine) caughtUp(now time.Time, id MemberID) bool {
	p := m.lead.peers[id]
	return m.answers(now, id) && p.match >= m.commit && p.match+promoteLag >= m.log.last()
}

func (m *Machine) completeReplacement(now time.Time, current Membership, member Member) {
	if member.Replaces == m.cfg.ID {
		m.beginTransfer(now, member.ID)
		return
	}
	if !m.isSafeWithout(now, member.Replaces) {
		return
	}
	next := current.without(member.Replaces)
	member.Replaces = 0
	m.setMembership(now, next.with(member))
}
