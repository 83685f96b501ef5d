package failover

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// backoff limits how often one group starts a new term.
type backoff struct {
	current   time.Duration
	notBefore time.Time
}

func (b *backoff) increase(now time.Time, cfg Config, stable bool) {
	if stable {
		b.current = 0
	}
	b.current = min(max(2*b.current, cfg.BackoffMin), cfg.BackoffMax)
	b.notBefore = now.Add(b.current)
}

// startTerm starts a new term, unless the backoff has not elapsed or too few members for a majority are reachable.
func (m *Machine) startTerm(now time.Time) {
	if now.Before(m.backoff.notBefore) {
		m.scheduleTick(m.backoff.notBefore)
		return
	}
	if n := m.reachableCount(now); n < m.rules.quorum(len(m.members)) {
		m.reportRefusal(now, fmt.Sprintf("%d of %d members are reachable", n, len(m.members)))
		return
	}
	if m.journalled.Term > 0 {
		stable := !m.primarySince.IsZero() && now.Sub(m.primarySince) >= m.cfg.StableAfter
		m.backoff.increase(now, m.cfg, stable)
		m.primarySince = time.Time{}
	}
	if m.journalled.Primary != "" {
		m.previousPrimary = m.journalled.Primary
	}
	m.proposed = group.Configuration{Group: m.id, Term: m.highestTerm() + 1}
	m.enterPhase(now, phaseStartingTerm)
}

// reachableCount returns the number of reachable members.
func (m *Machine) reachableCount(now time.Time) int {
	n := 0
	for _, mb := range m.members {
		if mb.reachable(now, m.cfg.AnnouncementTimeout) {
			n++
		}
	}
	return n
}

// highestTerm returns the highest term that is journalled or that any member has promised.
func (m *Machine) highestTerm() group.Term {
	highest := m.journalled.Term
	for _, mb := range m.members {
		highest = max(highest, mb.status.Term, mb.status.FencedTerm)
	}
	return highest
}

// reportRefusal reports, at most once per RefusalReportInterval, that the failover cannot proceed.
func (m *Machine) reportRefusal(now time.Time, detail string) {
	if m.refusalReportedAt.IsZero() || now.Sub(m.refusalReportedAt) >= m.cfg.RefusalReportInterval {
		m.refusalReportedAt = now
		m.note(NoteFailoverRefused, m.journalled.Primary, detail)
	}
	m.scheduleTick(m.refusalReportedAt.Add(m.cfg.RefusalReportInterval))
}

// isNewer reports whether the journalled configuration a came after b.
func isNewer(a, b group.Configuration) bool {
	return a.Term > b.Term || (a.Term == b.Term && b.Primary == "" && a.Primary != "")
}

// proposeConfiguration asks for the proposed configuration to be journalled.
func (m *Machine) proposeConfiguration(now time.Time) {
	if m.attemptDue(now) {
		m.emit(Journal{Expect: m.journalled.Term, Next: m.proposed})
	}
}

// applyJournalled continues from a newly journalled configuration.
func (m *Machine) applyJournalled(now time.Time, current group.Configuration) {
	accepted := current == m.proposed
	m.journalled = current
	switch {
	case accepted && m.phase == phaseStartingTerm:
		m.termStarted(now)
	case accepted && m.phase == phaseRecordingPrimary:
		m.promoteRefused = false
		m.enterPhase(now, phasePromoting)
	default:
		m.resume(now)
	}
}

// termStarted publishes that the group has no primary, then starts fencing or, in a planned handover, draining.
func (m *Machine) termStarted(now time.Time) {
	m.resetFences(now)
	m.note(NoteTermBegun, m.previousPrimary, "")
	m.emit(Publish{m.journalled})
	if m.handover.target != "" {
		m.enterPhase(now, phaseDraining)
		return
	}
	m.enterPhase(now, phaseFencing)
}
