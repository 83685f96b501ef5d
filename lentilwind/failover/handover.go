package failover

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// handover is the state of a planned handover from a primary that is leaving.
//
// The target first catches up with the primary. Then the new term is journalled and published without a primary: entries
// stop starting transactions of the old term, hold back new ones and report when the last running one has ended. Then the
// target receives the rest of the old primary's log. What follows is an ordinary failover, in which no member's log is
// greater than the target's.
type handover struct {
	target group.Server
	// requiredPosition is the position of the primary that the target must reach before the new term is started.
	requiredPosition group.Position
	targetPosition   group.Position
	drained          bool
	// finalPosition is the position of the old primary after draining; nil until it is known.
	finalPosition *group.Position
}

// prepareHandover lets a successor catch up with the leaving primary and then starts a new term.
func (m *Machine) prepareHandover(now time.Time, primary *member) {
	if now.Before(m.backoff.notBefore) {
		m.scheduleTick(m.backoff.notBefore)
		return
	}
	target := m.selectSuccessor(now, primary)
	if target == nil {
		m.handover = handover{}
		m.reportRefusal(now, "no member can take over from the leaving primary")
		return
	}
	if m.handover.target != target.Server {
		m.handover = handover{target: target.Server, requiredPosition: primary.status.Received, targetPosition: target.status.Received}
	}
	m.handover.targetPosition = max(m.handover.targetPosition, target.status.Received)
	if m.handover.targetPosition >= m.handover.requiredPosition {
		m.startTerm(now)
		return
	}
	if m.attemptDue(now) {
		m.emit(Wait{Server: target.Server, Term: m.journalled.Term, Position: m.handover.requiredPosition, Timeout: m.cfg.CatchUpTimeout})
	}
}

// selectSuccessor returns the best member that follows the primary. The current target is kept while it is a candidate.
func (m *Machine) selectSuccessor(now time.Time, primary *member) *member {
	var candidates []*member
	for _, mb := range m.members {
		follows := mb.status.Term == m.journalled.Term && mb.status.FencedTerm <= m.journalled.Term
		if mb == primary || mb.leaving || !follows || !mb.reachable(now, m.cfg.AnnouncementTimeout) {
			continue
		}
		candidates = append(candidates, mb)
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MaxFunc(candidates, m.comparePreference)
}

// awaitDrain waits for the running transactions of the old term, at most for DrainTimeout.
func (m *Machine) awaitDrain(now time.Time) {
	deadline := m.phaseStart.Add(m.cfg.DrainTimeout)
	if m.handover.drained || !now.Before(deadline) || m.failedOrRemoved(m.previousPrimary) || m.failedOrRemoved(m.handover.target) {
		m.enterPhase(now, phaseCatchingUp)
		return
	}
	m.scheduleTick(deadline)
}

func (m *Machine) failedOrRemoved(server group.Server) bool {
	mb := m.findMember(server)
	return mb == nil || mb.failed
}

// awaitCatchUp waits until the target has received the old primary's whole log, before both are fenced.
//
// A transaction committed after the position was read is not lost: the old primary then has the greatest log.
func (m *Machine) awaitCatchUp(now time.Time) {
	deadline := m.phaseStart.Add(m.cfg.CatchUpTimeout)
	h := &m.handover
	done := h.finalPosition != nil && h.targetPosition >= *h.finalPosition
	if done || m.failedOrRemoved(m.previousPrimary) || m.failedOrRemoved(h.target) || !now.Before(deadline) {
		m.enterPhase(now, phaseFencing)
		return
	}
	m.scheduleTick(deadline)
	if !m.attemptDue(now) {
		return
	}
	if h.finalPosition == nil {
		m.emit(Wait{Server: m.previousPrimary, Term: m.journalled.Term})
		return
	}
	m.emit(Wait{Server: h.target, Term: m.journalled.Term, Position: *h.finalPosition, Timeout: deadline.Sub(now)})
}

// recordPosition stores the received position of the target or of the old primary.
func (m *Machine) recordPosition(now time.Time, server group.Server, received group.Position) {
	switch {
	case server == m.handover.target:
		m.handover.targetPosition = max(m.handover.targetPosition, received)
	case server == m.previousPrimary && m.phase == phaseCatchingUp && m.handover.finalPosition == nil:
		m.handover.finalPosition = &received
		m.nextAttempt = now
	}
}
