package journal

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/protocol"
)

// maxPromotionLag is how many entries a learner may lag behind to be promoted to voter.
const maxPromotionLag = 16

// MembershipChange adds or removes one member; exactly one field is set.
type MembershipChange struct {
	// Add is a member to add as a learner; it becomes a voter once it has caught up.
	Add *Member
	// Remove is the member to remove.
	Remove MemberID
}

// MembershipChangeError reports why a membership change was rejected.
type MembershipChangeError struct {
	Message string
}

// Error returns the message with the prefix of the package.
func (e *MembershipChangeError) Error() string { return "journal: " + e.Message }

// ChangeMembership proposes a membership change; it is final once the entry at the returned position is committed.
func (m *Machine) ChangeMembership(now time.Time, change MembershipChange) (Position, []Effect, error) {
	if m.role != RoleLeader || m.leaderState.transfer != nil {
		return Position{}, nil, &NotLeaderError{Leader: m.leader}
	}
	next, err := m.changedMembership(now, change)
	if err != nil {
		return Position{}, nil, err
	}
	position := m.appendMembership(now, next)
	return position, m.takeEffects(), nil
}

func (m *Machine) changedMembership(now time.Time, change MembershipChange) (Membership, error) {
	current := m.Membership()
	if !m.canChangeMembership() {
		return Membership{}, &MembershipChangeError{Message: "another change of the members is under way; try again"}
	}
	if change.Add != nil {
		return m.membershipWithLearner(current, *change.Add)
	}
	if _, found := current.Find(change.Remove); !found {
		return Membership{}, &MembershipChangeError{Message: fmt.Sprintf("there is no member %d", change.Remove)}
	}
	if change.Remove == m.cfg.ID {
		return Membership{}, &MembershipChangeError{Message: "the leader cannot remove itself; hand over the leadership first"}
	}
	if !m.hasQuorumWithout(now, change.Remove) {
		return Membership{}, &MembershipChangeError{Message: "without this member too few of the others would answer; repair them first"}
	}
	return current.withoutMember(change.Remove), nil
}

// hasQuorumWithout reports whether a majority of the voters would be responsive after the removal of a member.
func (m *Machine) hasQuorumWithout(now time.Time, id MemberID) bool {
	voters := m.Membership().withoutMember(id).Voters()
	responsive := 0
	for _, voter := range voters {
		if voter == m.cfg.ID || m.isResponsive(now, voter) {
			responsive++
		}
	}
	return responsive > len(voters)/2
}

// isResponsive reports whether another member has answered a message sent within the last election timeout.
func (m *Machine) isResponsive(now time.Time, id MemberID) bool {
	p := m.leaderState.peers[id]
	return p != nil && now.Sub(p.ackedSentAt) < m.cfg.ElectionTimeout
}

func (m *Machine) membershipWithLearner(current Membership, member Member) (Membership, error) {
	if _, found := current.Find(member.ID); found || member.ID == 0 {
		return Membership{}, &MembershipChangeError{Message: fmt.Sprintf("member %d cannot be added again", member.ID)}
	}
	if _, found := current.Find(member.Replaces); !found && member.Replaces != 0 {
		return Membership{}, &MembershipChangeError{Message: fmt.Sprintf("there is no member %d to replace", member.Replaces)}
	}
	member.Learner = true
	return current.withMember(member), nil
}

// canChangeMembership reports whether the last change is committed; two changes at once could allow two disjoint majorities.
func (m *Machine) canChangeMembership() bool {
	_, since := m.log.membership()
	return m.commitIndex >= m.leaderState.termStart && m.commitIndex >= since
}

func (m *Machine) appendMembership(now time.Time, next Membership) Position {
	data, err := protocol.Encode(next)
	if err != nil {
		panic(err.Error())
	}
	entry := Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Kind: EntryMembership, Data: data}
	m.replicate(now, entry)
	return Position{Index: entry.Index, Term: entry.Term}
}

// continueMembershipChange promotes a learner that has caught up, or removes the member that a promoted one replaces.
func (m *Machine) continueMembershipChange(now time.Time) {
	if m.role != RoleLeader || m.leaderState.transfer != nil || !m.canChangeMembership() {
		return
	}
	current := m.Membership()
	for _, member := range current.Members {
		switch {
		case member.Learner && m.hasCaughtUp(now, member.ID):
			member.Learner = false
			m.appendMembership(now, current.withMember(member))
			return
		case !member.Learner && member.Replaces != 0:
			m.completeReplacement(now, current, member)
			return
		}
	}
}

func (m *Machine) hasCaughtUp(now time.Time, id MemberID) bool {
	p := m.leaderState.peers[id]
	return m.isResponsive(now, id) && p.matchIndex >= m.commitIndex && p.matchIndex+maxPromotionLag >= m.log.lastIndex()
}

func (m *Machine) completeReplacement(now time.Time, current Membership, member Member) {
	if member.Replaces == m.cfg.ID {
		m.startTransfer(now, member.ID)
		return
	}
	if !m.hasQuorumWithout(now, member.Replaces) {
		return
	}
	next := current.withoutMember(member.Replaces)
	member.Replaces = 0
	m.appendMembership(now, next.withMember(member))
}
