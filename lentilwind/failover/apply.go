package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

func (Tick) apply(*Machine, time.Time) {}

func (e MembersChanged) apply(m *Machine, _ time.Time) { m.setMembers(e.Members) }

func (e Announced) apply(m *Machine, now time.Time) {
	mb := m.member(e.Server)
	if mb == nil || e.Incarnation < mb.incarnation {
		return
	}
	if m.firstMember.IsZero() {
		m.firstMember = now
	}
	if mb.incarnation != 0 && mb.incarnation != e.Incarnation {
		mb.known = false
	}
	mb.incarnation = e.Incarnation
	mb.address = e.Address
	mb.leaving = e.Leaving
	if mb.observe(now, e.Status) && mb.Server == m.config.Primary {
		m.checkPrimary(mb)
	}
}

func (e ServerFailed) apply(m *Machine, _ time.Time) {
	if mb := m.member(e.Server); mb != nil {
		mb.failed = true
	}
}

func (e Drained) apply(m *Machine, _ time.Time) {
	if e.Term == m.config.Term && m.phase == phaseDraining {
		m.handover.drained = true
	}
}

func (e FenceResult) apply(m *Machine, now time.Time) {
	mb := m.answering(now, e.Server, e.Outcome, e.Status)
	if mb == nil || e.Term != m.config.Term {
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
	mb := m.answering(now, e.Server, e.Outcome, e.Status)
	if mb == nil || e.Term != m.config.Term || e.Server != m.config.Primary {
		return
	}
	if e.Outcome == OutcomeRefused && m.phase == phasePromoting {
		m.promoteRefused = true
		return
	}
	if e.Outcome != OutcomeDone || m.phase != phasePromoting {
		return
	}
	m.promoted(now, mb)
}

func (e FollowResult) apply(m *Machine, now time.Time) {
	mb := m.member(e.Server)
	if mb == nil || e.Term != m.config.Term || e.Outcome != OutcomeDone {
		return
	}
	mb.heard = now
	mb.follow.incarnation = mb.incarnation
}

func (e WaitResult) apply(m *Machine, now time.Time) {
	mb := m.answering(now, e.Server, e.Outcome, e.Status)
	if mb == nil || e.Term != m.config.Term || e.Outcome != OutcomeDone {
		return
	}
	m.waited(now, e.Server, e.Status.Received)
}

func (e JournalResult) apply(m *Machine, now time.Time) {
	if e.Outcome != OutcomeUnknown && newer(e.Current, m.config) {
		m.adopt(now, e.Current)
	}
}

// answering takes in the status that came with the answer to an effect.
func (m *Machine) answering(now time.Time, server group.Server, outcome Outcome, status group.Status) *member {
	mb := m.member(server)
	if mb == nil || outcome == OutcomeUnknown {
		return nil
	}
	mb.observe(now, status)
	return mb
}
