package failover

import (
	"cmp"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Faults that tests inject into a machine to show that the simulation detects them.

// FenceMinority makes the machine select a primary before a majority is fenced.
func (m *Machine) FenceMinority() { m.rules.quorum = func(n int) int { return n / 2 } }

// IgnoreLogTerm makes the machine select the primary by position alone.
func (m *Machine) IgnoreLogTerm() {
	m.rules.compareLogs = func(a, b group.Status) int { return cmp.Compare(a.Received, b.Received) }
}

// PromoteBeforeJournal makes the machine promote a member before it is journalled as primary.
func (m *Machine) PromoteBeforeJournal() {
	m.rules.recordPrimary = func(m *Machine, now time.Time, selected *member) {
		m.emit(Promote{Server: selected.Server, Term: m.journalled.Term, Position: selected.fenceAnswer.Received})
		recordPrimary(m, now, selected)
	}
}
