package failover

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// failedRetryFactor lengthens the retry interval for members considered dead, so that they don't delay the fencing of live
// ones.
const failedRetryFactor = 4

// fenceMembers asks every member to promise the term and selects a primary once a majority has.
func (m *Machine) fenceMembers(now time.Time) {
	if m.highestTerm() > m.journalled.Term {
		m.handover = handover{}
		m.startTerm(now)
		return
	}
	for _, mb := range m.members {
		m.fenceMember(now, mb)
	}
	eligible := m.eligibleMembers()
	if quorum := m.rules.quorum(len(m.members)); len(eligible) < quorum {
		m.awaitMajority(now, len(eligible))
		return
	}
	if m.majorityAt.IsZero() {
		m.majorityAt = now
	}
	graceEnd := m.majorityAt.Add(m.cfg.SelectionGrace)
	if now.Before(graceEnd) && m.awaitsFenceAnswers(now) {
		m.scheduleTick(graceEnd)
		return
	}
	m.rules.recordPrimary(m, now, m.selectPrimary(eligible))
}

// fenceMember sends the fence repeatedly until the member has answered.
func (m *Machine) fenceMember(now time.Time, mb *member) {
	if mb.fenced || mb.address == "" {
		return
	}
	delay := m.cfg.RetryInterval
	if mb.failed {
		delay *= failedRetryFactor
	}
	due := mb.nextFence
	if mb.failed && due.Before(m.phaseStart.Add(delay)) {
		due = m.phaseStart.Add(delay)
	}
	if now.Before(due) {
		m.scheduleTick(due)
		return
	}
	mb.nextFence = now.Add(delay)
	m.scheduleTick(mb.nextFence)
	m.emit(Fence{Server: mb.Server, Term: m.journalled.Term})
}

// awaitMajority reports the refusal once RefusalReportDelay has passed without a majority.
func (m *Machine) awaitMajority(now time.Time, eligible int) {
	reportAt := m.phaseStart.Add(m.cfg.RefusalReportDelay)
	if now.Before(reportAt) {
		m.scheduleTick(reportAt)
		return
	}
	m.reportRefusal(now, fmt.Sprintf("%d of %d members count", eligible, len(m.members)))
}

// awaitsFenceAnswers reports whether a reachable member has not answered its fence.
func (m *Machine) awaitsFenceAnswers(now time.Time) bool {
	for _, mb := range m.members {
		if !mb.fenced && mb.reachable(now, m.cfg.AnnouncementTimeout) {
			return true
		}
	}
	return false
}

// recordPrimary journals the selected member before it is promoted.
//
// If it were promoted first, the next leader might not know it and select a second primary for the same term.
func recordPrimary(m *Machine, now time.Time, selected *member) {
	m.selected = selected.fenceAnswer
	m.proposed = group.Configuration{Group: m.id, Term: m.journalled.Term, Primary: selected.Server}
	m.enterPhase(now, phaseRecordingPrimary)
}
