package failover

import "time"

// sendPromote tells the journalled primary to take the primary role; if that fails, a newer term is started.
//
// A leader that resumes in this phase does not know the position and sends 0. That is safe: only a member fenced at exactly
// this term accepts the promotion, and its log has not changed since it was selected.
func (m *Machine) sendPromote(now time.Time) {
	primary := m.findMember(m.journalled.Primary)
	deadline := m.phaseStart.Add(m.cfg.PromotionTimeout)
	if primary == nil || primary.failed || m.promoteRefused || !now.Before(deadline) {
		m.handover = handover{}
		m.startTerm(now)
		return
	}
	m.scheduleTick(deadline)
	if m.attemptDue(now) {
		m.emit(Promote{Server: primary.Server, Term: m.journalled.Term, Position: m.selected.Received})
	}
}

// finishPromotion publishes the new primary.
func (m *Machine) finishPromotion(now time.Time, primary *member) {
	primary.contradictions = 0
	primary.needsPromotion = false
	m.handover = handover{}
	m.isolatedPrimary = ""
	m.primarySince = now
	m.refusalReportedAt = time.Time{}
	m.note(NotePrimaryPromoted, primary.Server, primary.status.String())
	m.emit(Publish{m.journalled})
	m.enterPhase(now, phaseSettled)
}
