package failover

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// backoff spaces the terms that one group begins.
type backoff struct {
	current   time.Duration
	notBefore time.Time
}

func (b *backoff) raise(now time.Time, cfg Config, stable bool) {
	if stable {
		b.current = 0
	}
	b.current = min(max(2*b.current, cfg.BackoffMin), cfg.BackoffMax)
	b.notBefore = now.Add(b.current)
}

// begin starts a new term, unless the last one was begun just now or no majority could be fenced.
func (m *Machine) begin(now time.Time) {
	if now.Before(m.backoff.notBefore) {
		m.wakeAt(m.backoff.notBefore)
		return
	}
	if n := m.reachable(now); n < m.rules.quorum(len(m.members)) {
		m.refuse(now, fmt.Sprintf("%d of %d members are reachable", n, len(m.members)))
		return
	}
	if m.config.Term > 0 {
		stable := !m.settledAt.IsZero() && now.Sub(m.settledAt) >= m.cfg.StableAfter
		m.backoff.raise(now, m.cfg, stable)
		m.settledAt = time.Time{}
	}
	if m.config.Primary != "" {
		m.previous = m.config.Primary
	}
	m.next = group.Configuration{Group: m.id, Term: m.highestTerm() + 1}
	m.enter(now, phaseBeginning)
}

func (m *Machine) reachable(now time.Time) int {
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
	highest := m.config.Term
	for _, mb := range m.members {
		highest = max(highest, mb.status.Term, mb.status.FencedTerm)
	}
	return highest
}

// refuse reports that there is no majority to decide with.
func (m *Machine) refuse(now time.Time, detail string) {
	if m.refusedAt.IsZero() || now.Sub(m.refusedAt) >= m.cfg.RefusalReportInterval {
		m.refusedAt = now
		m.note(NoteFailoverRefused, m.config.Primary, detail)
	}
	m.wakeAt(m.refusedAt.Add(m.cfg.RefusalReportInterval))
}

// newer tells whether one journalled configuration came after another.
func newer(a, b group.Configuration) bool {
	return a.Term > b.Term || (a.Term == b.Term && b.Primary == "" && a.Primary != "")
}

// journal asks for the next configuration to be journalled.
func (m *Machine) journal(now time.Time) {
	if m.due(now) {
		m.emit(Journal{Expect: m.config.Term, Next: m.next})
	}
}

// adopt goes on from a newly journalled configuration.
func (m *Machine) adopt(now time.Time, current group.Configuration) {
	asked := current == m.next
	m.config = current
	switch {
	case asked && m.phase == phaseBeginning:
		m.begun(now)
	case asked && m.phase == phaseAppointing:
		m.promoteRefused = false
		m.enter(now, phasePromoting)
	default:
		m.resume(now)
	}
}

// begun publishes that the group has no primary and starts to fence.
func (m *Machine) begun(now time.Time) {
	m.forgetFences(now)
	m.note(NoteTermBegun, m.previous, "")
	m.emit(Publish{m.config})
	if m.handover.target != "" {
		m.enter(now, phaseDraining)
		return
	}
	m.enter(now, phaseFencing)
}
