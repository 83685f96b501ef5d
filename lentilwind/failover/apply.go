package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

func (Tick) apply(*Machine, time.Time) {}

func (e MembersChanged) apply(m *Machine, _ time.Time) { m.setMembers(e.Members) }

func (e Announced) apply(m *Machine, now time.Time) {
	mb := m.findMember(e.Server)
	if mb == nil || e.Incarnation < mb.incarnation {
		return
	}
	if m.firstAnnouncement.IsZero() {
		m.firstAnnouncement = now
	}
	if mb.incarnation != 0 && mb.incarnation != e.Incarnation {
		mb.hasStatus = false
	}
	mb.incarnation = e.Incarnation
	mb.address = e.Address
	mb.leaving = e.Leaving
	if mb.updateStatus(now, e.Status) && mb.Server == m.journalled.Primary {
		m.checkPrimary(mb)
	}
}

func (e ServerFailed) apply(m *Machine, _ time.Time) {
	if mb := m.findMember(e.Server); mb != nil {
		mb.failed = true
	}
}

func (e Drained) apply(m *Machine, _ time.Time) {
	if e.Term == m.journalled.Term && m.phase == phaseDraining {
		m.handover.drained = true
	}
}

func (e FenceResult) apply(m *Machine, now time.Time) {
	mb := m.recordAnswer(now, e.Server, e.Outcome, e.Status)
	if mb == nil || e.Term != m.journalled.Term {
		return
	}
	if e.Outcome != OutcomeDone || e.Status.FencedTerm != e.Term || mb.fenced {
		return
	}
	mb.fenced = true
	mb.fenceAnswer = e.Status
	if m.phase == phaseFencing {
		m.note(NoteMemberFenced, e.Server, e.Status.String())
	}
}

func (e PromoteResult) apply(m *Machine, now time.Time) {
	mb := m.recordAnswer(now, e.Server, e.Outcome, e.Status)
	if mb == nil || e.Term != m.journalled.Term || e.Server != m.journalled.Primary {
		return
	}
	if e.Outcome == OutcomeRefused && m.phase == phasePromoting {
		m.promoteRefused = true
		return
	}
	if e.Outcome != OutcomeDone || m.phase != phasePromoting {
		return
	}
	m.finishPromotion(now, mb)
}

func (e FollowResult) apply(m *Machine, now time.Time) {
	mb := m.findMember(e.Server)
	if mb == nil || e.Term != m.journalled.Term || e.Outcome != OutcomeDone {
		return
	}
	mb.lastContact = now
	mb.follow.incarnation = mb.incarnation
}

func (e WaitResult) apply(m *Machine, now time.Time) {
	mb := m.recordAnswer(now, e.Server, e.Outcome, e.Status)
	if mb == nil || e.Term != m.journalled.Term || e.Outcome != OutcomeDone {
		return
	}
	m.recordPosition(now, e.Server, e.Status.Received)
}

func (e JournalResult) apply(m *Machine, now time.Time) {
	if e.Outcome != OutcomeUnknown && isNewer(e.Current, m.journalled) {
		m.applyJournalled(now, e.Current)
	}
}

// recordAnswer stores the status in the answer to an effect and returns the member, or nil if there is no usable answer.
func (m *Machine) recordAnswer(now time.Time, server group.Server, outcome Outcome, status group.Status) *member {
	mb := m.findMember(server)
	if mb == nil || outcome == OutcomeUnknown {
		return nil
	}
	mb.updateStatus(now, status)
	return mb
}
