package journal

import (
	"cmp"
	"slices"
	"time"
)

// transfer is a planned change of leader that is under way.
type transfer struct {
	to MemberID
	// until ends the attempt.
	until time.Time
	// asked is set once the successor may campaign; from then on the old leader has no lease.
	asked bool
}

func (t *transfer) handedOver() bool { return t != nil && t.asked }

// TransferLeadership hands the leadership to the member that has the most of the journal; false means that none can take it.
func (m *Machine) TransferLeadership(now time.Time) ([]Effect, bool) {
	if m.role != RoleLeader || m.lead.transfer != nil {
		return nil, false
	}
	var candidates []MemberID
	for _, id := range m.Membership().Voters() {
		if m.answers(now, id) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	best := slices.MaxFunc(candidates, func(a, b MemberID) int {
		return cmp.Or(cmp.Compare(m.lead.peers[a].match, m.lead.peers[b].match), cmp.Compare(b, a))
	})
	m.beginTransfer(now, best)
	return m.take(), true
}

func (m *Machine) beginTransfer(now time.Time, to MemberID) {
	m.lead.transfer = &transfer{to: to, until: now.Add(m.cfg.ElectionTimeout)}
	m.tickTransfer(now)
}

// tickTransfer asks the successor to campaign once it has everything; true means that the member leads no more.
//
// The request may arrive arbitrarily late, so after it the leader cannot take its lease up again.
func (m *Machine) tickTransfer(now time.Time) bool {
	t := m.lead.transfer
	if t == nil {
		return false
	}
	if !now.Before(t.until) {
		if t.asked {
			m.follow(now, m.hard.Term, 0)
			return true
		}
		m.lead.transfer = nil
		return false
	}
	if p := m.lead.peers[t.to]; p != nil && !t.asked && p.match == m.log.last() {
		t.asked = true
		m.send(Message{Type: MessageCampaign, To: t.to})
	}
	return false
}
