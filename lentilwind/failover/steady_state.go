package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// contradictionLimit is the number of consecutive contradicting announcements after which the journalled primary is replaced.
const contradictionLimit = 2

// Bounds of the interval between two attempts to make a member follow the primary.
const (
	followBackoffMin = time.Second
	followBackoffMax = 8 * time.Second
)

// superviseGroup replaces the primary when necessary, or waits for enough members to select the first one.
func (m *Machine) superviseGroup(now time.Time) {
	if m.journalled.Primary == "" {
		m.bootstrap(now)
		return
	}
	primary := m.findMember(m.journalled.Primary)
	switch {
	case primary == nil, primary.failed, primary.contradictions >= contradictionLimit,
		m.highestTerm() > m.journalled.Term:
		m.handover = handover{}
		m.startTerm(now)
	case m.primaryIsolated(now, primary):
		m.handover = handover{}
		m.isolatedPrimary = primary.Server
		m.startTerm(now)
	case primary.needsPromotion:
		m.selected = group.Status{}
		m.promoteRefused = false
		m.enterPhase(now, phasePromoting)
	case primary.leaving:
		m.prepareHandover(now, primary)
	}
	if m.phase == phaseSettled && primary != nil {
		m.redirectMembers(now, primary)
	}
}

// primaryIsolated reports whether a primary that answers can't replicate its records to a majority.
func (m *Machine) primaryIsolated(now time.Time, primary *member) bool {
	stalledReplicas := 0
	for _, mb := range m.members {
		behindAndStalled := mb.reachable(now, m.cfg.AnnouncementTimeout) && mb.status.Term == m.journalled.Term &&
			mb.status.Received < primary.status.Received && mb.stalled(now, m.cfg.PrimaryIsolatedAfter)
		if mb != primary && behindAndStalled {
			stalledReplicas++
		}
	}
	return stalledReplicas > len(m.members)-m.rules.quorum(len(m.members))
}

// bootstrap starts the first term once all members are reachable, or a majority is and AnnouncementTimeout has passed since
// the first announcement.
//
// A database that is already the primary has the greatest log and so stays primary in the new term.
func (m *Machine) bootstrap(now time.Time) {
	n := m.reachableCount(now)
	if len(m.members) == 0 || n < m.rules.quorum(len(m.members)) {
		return
	}
	deadline := m.firstAnnouncement.Add(m.cfg.AnnouncementTimeout)
	if n < len(m.members) && now.Before(deadline) {
		m.scheduleTick(deadline)
		return
	}
	m.startTerm(now)
}

// checkPrimary compares the status of the journalled primary with the journal.
func (m *Machine) checkPrimary(mb *member) {
	status := mb.status
	mb.needsPromotion = false
	switch {
	case status.FencedTerm > m.journalled.Term:
		mb.contradictions = contradictionLimit
	case status.FencedTerm < m.journalled.Term:
		mb.contradictions++
	case status.Role != group.RolePrimary || status.Term != m.journalled.Term:
		mb.needsPromotion = true
		mb.contradictions = 0
	default:
		mb.contradictions = 0
	}
}

// redirectMembers tells members that do not follow the primary to do so, including replaced primaries and members that were
// unreachable for a time.
func (m *Machine) redirectMembers(now time.Time, primary *member) {
	if primary.failed || primary.address == "" {
		return
	}
	for _, mb := range m.members {
		if mb == primary || !m.needsFollow(now, mb, primary) {
			continue
		}
		if mb.follow.term != m.journalled.Term || mb.follow.address != primary.address {
			mb.follow = followState{term: m.journalled.Term, address: primary.address}
		}
		m.sendFollow(now, mb, primary)
	}
}

// needsFollow reports whether a member is reachable but does not follow the primary.
func (m *Machine) needsFollow(now time.Time, mb, primary *member) bool {
	if !mb.reachable(now, m.cfg.AnnouncementTimeout) {
		return false
	}
	last := mb.follow
	moved := last.term == m.journalled.Term && last.address != primary.address
	restarted := last.incarnation != 0 && last.incarnation != mb.incarnation
	behind := mb.status.Term < m.journalled.Term || mb.status.Role == group.RolePrimary
	return moved || restarted || behind || mb.stalled(now, m.cfg.ReplicaStalledAfter)
}

func (m *Machine) sendFollow(now time.Time, mb, primary *member) {
	if now.Before(mb.follow.nextAttempt) {
		m.scheduleTick(mb.follow.nextAttempt)
		return
	}
	mb.follow.backoff = min(max(2*mb.follow.backoff, followBackoffMin), followBackoffMax)
	mb.follow.nextAttempt = now.Add(mb.follow.backoff)
	m.scheduleTick(mb.follow.nextAttempt)
	if mb.status.FencedTerm < m.journalled.Term {
		m.emit(Fence{Server: mb.Server, Term: m.journalled.Term})
	}
	m.emit(Follow{Server: mb.Server, Term: m.journalled.Term, Address: primary.address})
}
