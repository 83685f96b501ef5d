package failover

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// failedRetryFactor spaces the fences of members that are thought dead, so that they don't hold up those of the living.
const failedRetryFactor = 4

// fence asks every member to promise the term and chooses once a majority has.
func (m *Machine) fence(now time.Time) {
	if m.highestTerm() > m.config.Term {
		m.handover = handover{}
		m.begin(now)
		return
	}
	for _, mb := range m.members {
		m.fenceMember(now, mb)
	}
	counted := m.counted()
	if quorum := m.rules.quorum(len(m.members)); len(counted) < quorum {
		m.awaitMajority(now, len(counted))
		return
	}
	if m.majorityAt.IsZero() {
		m.majorityAt = now
	}
	grace := m.majorityAt.Add(m.cfg.SelectionGrace)
	if now.Before(grace) && m.answersMissing(now) {
		m.wakeAt(grace)
		return
	}
	m.rules.appoint(m, now, m.choose(counted))
}

// fenceMember sends the fence again after a delay until the member has answered.
func (m *Machine) fenceMember(now time.Time, mb *member) {
	if mb.fenced || mb.address == "" {
		return
	}
	delay := m.cfg.RetryInterval
	if mb.failed {
		delay *= failedRetryFactor
	}
	due := mb.fenceTry
	if mb.failed && due.Before(m.entered.Add(delay)) {
		due = m.entered.Add(delay)
	}
	if now.Before(due) {
		m.wakeAt(due)
		return
	}
	mb.fenceTry = now.Add(delay)
	m.wakeAt(mb.fenceTry)
	m.emit(Fence{Server: mb.Server, Term: m.config.Term})
}

func (m *Machine) awaitMajority(now time.Time, counted int) {
	report := m.entered.Add(m.cfg.RefusalReportDelay)
	if now.Before(report) {
		m.wakeAt(report)
		return
	}
	m.refuse(now, fmt.Sprintf("%d of %d members count", counted, len(m.members)))
}

// answersMissing tells whether a member that seems alive has not answered its fence.
func (m *Machine) answersMissing(now time.Time) bool {
	for _, mb := range m.members {
		if !mb.fenced && mb.reachable(now, m.cfg.AnnouncementTimeout) {
			return true
		}
	}
	return false
}

// appoint journals the chosen member before anything is told to it.
//
// A primary that was promoted first could be unknown to the next leader, which would choose a second one for the term.
func appoint(m *Machine, now time.Time, chosen *member) {
	m.chosen = chosen.fenceAnswer
	m.next = group.Configuration{Group: m.id, Term: m.config.Term, Primary: chosen.Server}
	m.enter(now, phaseAppointing)
}
