package failover

import "time"

// promote tells the journalled primary to take its role; a failed attempt leads to a newer term.
//
// A leader that resumes here knows no position and sends 0: only a member fenced at exactly this term obeys, and it has
// held the log that it was chosen for since then.
func (m *Machine) promote(now time.Time) {
	primary := m.member(m.config.Primary)
	giveUp := m.entered.Add(m.cfg.PromotionTimeout)
	if primary == nil || primary.failed || m.promoteRefused || !now.Before(giveUp) {
		m.handover = handover{}
		m.begin(now)
		return
	}
	m.wakeAt(giveUp)
	if m.due(now) {
		m.emit(Promote{Server: primary.Server, Term: m.config.Term, Position: m.chosen.Received})
	}
}

// promoted publishes the new primary.
func (m *Machine) promoted(now time.Time, primary *member) {
	primary.contradictions = 0
	primary.demoted = false
	m.handover = handover{}
	m.shunned = ""
	m.settledAt = now
	m.refusedAt = time.Time{}
	m.note(NotePrimaryPromoted, primary.Server, primary.status.String())
	m.emit(Publish{m.config})
	m.enter(now, phaseSettled)
}
