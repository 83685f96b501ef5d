package failover

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// handover is the state of handing a group over from a primary that is leaving.
//
// The target first comes near the primary. Then the new term is journalled and published without a primary: entries start no
// transaction of the old term and hold new ones back, and report when the last running one has ended. Then the target
// receives the rest of the old primary's log. What follows is an ordinary failover, in which the target has a log as
// great as any.
type handover struct {
	target group.Server
	// goal is the position of the primary that the target must reach before the new term is begun.
	goal    group.Position
	reached group.Position
	drained bool
	// final is the position of the old primary after the drain.
	final *group.Position
}

// handOver brings a successor near the leaving primary and then begins a term for it.
func (m *Machine) handOver(now time.Time, primary *member) {
	if now.Before(m.backoff.notBefore) {
		m.wakeAt(m.backoff.notBefore)
		return
	}
	target := m.successor(now, primary)
	if target == nil {
		m.handover = handover{}
		m.refuse(now, "no member can take over from the leaving primary")
		return
	}
	if m.handover.target != target.Server {
		m.handover = handover{target: target.Server, goal: primary.status.Received, reached: target.status.Received}
	}
	m.handover.reached = max(m.handover.reached, target.status.Received)
	if m.handover.reached >= m.handover.goal {
		m.begin(now)
		return
	}
	if m.due(now) {
		m.emit(Wait{Server: target.Server, Term: m.config.Term, Position: m.handover.goal, Timeout: m.cfg.CatchUpTimeout})
	}
}

// successor returns the best member that follows the primary; a target once chosen stays while it can.
func (m *Machine) successor(now time.Time, primary *member) *member {
	var candidates []*member
	for _, mb := range m.members {
		follows := mb.status.Term == m.config.Term && mb.status.FencedTerm <= m.config.Term
		if mb == primary || mb.leaving || !follows || !mb.reachable(now, m.cfg.AnnouncementTimeout) {
			continue
		}
		candidates = append(candidates, mb)
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MaxFunc(candidates, m.prefer)
}

// drain gives running transactions of the old term a bounded time.
func (m *Machine) drain(now time.Time) {
	limit := m.entered.Add(m.cfg.DrainTimeout)
	if m.handover.drained || !now.Before(limit) || m.lost(m.previous) || m.lost(m.handover.target) {
		m.enter(now, phaseSealing)
		return
	}
	m.wakeAt(limit)
}

func (m *Machine) lost(server group.Server) bool {
	mb := m.member(server)
	return mb == nil || mb.failed
}

// seal lets the target receive all that the old primary has, before both are fenced.
//
// A transaction that slipped through after the position was read is not lost: the old primary then has the greatest log.
func (m *Machine) seal(now time.Time) {
	limit := m.entered.Add(m.cfg.CatchUpTimeout)
	h := &m.handover
	done := h.final != nil && h.reached >= *h.final
	if done || m.lost(m.previous) || m.lost(h.target) || !now.Before(limit) {
		m.enter(now, phaseFencing)
		return
	}
	m.wakeAt(limit)
	if !m.due(now) {
		return
	}
	if h.final == nil {
		m.emit(Wait{Server: m.previous, Term: m.config.Term})
		return
	}
	m.emit(Wait{Server: h.target, Term: m.config.Term, Position: *h.final, Timeout: limit.Sub(now)})
}

// waited takes in how far a member has come.
func (m *Machine) waited(now time.Time, server group.Server, received group.Position) {
	switch {
	case server == m.handover.target:
		m.handover.reached = max(m.handover.reached, received)
	case server == m.previous && m.phase == phaseSealing && m.handover.final == nil:
		m.handover.final = &received
		m.try = now
	}
}
