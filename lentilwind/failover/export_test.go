package failover

import (
	"cmp"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// The faults that tests put into a machine to show that their checks find them.

// FenceMinority makes the machine choose before a majority is fenced.
func (m *Machine) FenceMinority() { m.rules.quorum = func(n int) int { return n / 2 } }

// IgnoreLogTerm makes the machine choose by position alone.
func (m *Machine) IgnoreLogTerm() {
	m.rules.compare = func(a, b group.Status) int { return cmp.Compare(a.Received, b.Received) }
}

// PromoteBeforeJournal makes the machine promote a member that is not journalled yet.
func (m *Machine) PromoteBeforeJournal() {
	m.rules.appoint = func(m *Machine, now time.Time, chosen *member) {
		m.emit(Promote{Server: chosen.Server, Term: m.config.Term, Position: chosen.fenceAnswer.Received})
		appoint(m, now, chosen)
	}
}
