package journal

import (
	"cmp"
	"slices"
	"time"
)

// transfer is a planned leadership transfer in progress.
type transfer struct {
	target MemberID
	// deadline is when the attempt ends.
	deadline time.Time
	// requested is set once the target was asked to start an election; from then on the old leader has no lease.
	requested bool
}

func (t *transfer) hasBeenRequested() bool { return t != nil && t.requested }

// TransferLeadership starts to hand over the leadership to the responsive voter with the most complete log; it returns false if
// there is none, or if this member does not lead or is already transferring.
func (m *Machine) TransferLeadership(now time.Time) ([]Effect, bool) {
	if m.role != RoleLeader || m.leaderState.transfer != nil {
		return nil, false
	}
	var candidates []MemberID
	for _, id := range m.Membership().Voters() {
		if m.isResponsive(now, id) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	best := slices.MaxFunc(candidates, func(a, b MemberID) int {
		return cmp.Or(cmp.Compare(m.leaderState.peers[a].matchIndex, m.leaderState.peers[b].matchIndex), cmp.Compare(b, a))
	})
	m.startTransfer(now, best)
	return m.takeEffects(), true
}

func (m *Machine) startTransfer(now time.Time, target MemberID) {
	m.leaderState.transfer = &transfer{target: target, deadline: now.Add(m.cfg.ElectionTimeout)}
	m.tickTransfer(now)
}

// tickTransfer asks the target to start an election once it holds the whole log. It returns true if the member no longer
// leads.
//
// The request may arrive with any delay, so a leader that has sent it cannot resume its lease.
func (m *Machine) tickTransfer(now time.Time) bool {
	t := m.leaderState.transfer
	if t == nil {
		return false
	}
	if !now.Before(t.deadline) {
		if t.requested {
			m.becomeFollower(now, m.hardState.Term, 0)
			return true
		}
		m.leaderState.transfer = nil
		return false
	}
	if p := m.leaderState.peers[t.target]; p != nil && !t.requested && p.matchIndex == m.log.lastIndex() {
		t.requested = true
		m.send(Message{Type: MessageCampaign, To: t.target})
	}
	return false
}
