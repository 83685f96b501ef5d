package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// contradictionLimit is the number of announcements in a row that must deny the journalled primary its role.
const contradictionLimit = 2

// Bounds of the time between two attempts to make a member follow.
const (
	followBackoffMin = time.Second
	followBackoffMax = 8 * time.Second
)

// settle watches over a group that has a primary, or waits for the first members.
func (m *Machine) settle(now time.Time) {
	if m.config.Primary == "" {
		m.bootstrap(now)
		return
	}
	primary := m.member(m.config.Primary)
	switch {
	case primary == nil, primary.failed, primary.contradictions >= contradictionLimit,
		m.highestTerm() > m.config.Term:
		m.handover = handover{}
		m.begin(now)
	case m.isolated(now, primary):
		m.handover = handover{}
		m.shunned = primary.Server
		m.begin(now)
	case primary.demoted:
		m.chosen = group.Status{}
		m.promoteRefused = false
		m.enter(now, phasePromoting)
	case primary.leaving:
		m.handOver(now, primary)
	}
	if m.phase == phaseSettled && primary != nil {
		m.assist(now, primary)
	}
}

// isolated tells whether a primary that answers can't get its records to a majority.
func (m *Machine) isolated(now time.Time, primary *member) bool {
	missing := 0
	for _, mb := range m.members {
		cutOff := mb.reachable(now, m.cfg.AnnouncementTimeout) && mb.status.Term == m.config.Term &&
			mb.status.Received < primary.status.Received && mb.starved(now, m.cfg.PrimaryIsolatedAfter)
		if mb != primary && cutOff {
			missing++
		}
	}
	return missing > len(m.members)-m.rules.quorum(len(m.members))
}

// bootstrap begins the first term once all members are there, or a majority for a while.
//
// A primary that exists already has the greatest log and so stays primary, in a new term.
func (m *Machine) bootstrap(now time.Time) {
	n := m.reachable(now)
	if len(m.members) == 0 || n < m.rules.quorum(len(m.members)) {
		return
	}
	patience := m.firstMember.Add(m.cfg.AnnouncementTimeout)
	if n < len(m.members) && now.Before(patience) {
		m.wakeAt(patience)
		return
	}
	m.begin(now)
}

// checkPrimary compares what the journalled primary says of itself with the journal.
func (m *Machine) checkPrimary(mb *member) {
	status := mb.status
	mb.demoted = false
	switch {
	case status.FencedTerm > m.config.Term:
		mb.contradictions = contradictionLimit
	case status.FencedTerm < m.config.Term:
		mb.contradictions++
	case status.Role != group.RolePrimary || status.Term != m.config.Term:
		mb.demoted = true
		mb.contradictions = 0
	default:
		mb.contradictions = 0
	}
}

// assist tells members that do not follow the primary to do so, late ones and replaced primaries included.
func (m *Machine) assist(now time.Time, primary *member) {
	if primary.failed || primary.address == "" {
		return
	}
	for _, mb := range m.members {
		if mb == primary || !m.astray(now, mb, primary) {
			continue
		}
		if mb.follow.term != m.config.Term || mb.follow.address != primary.address {
			mb.follow = following{term: m.config.Term, address: primary.address}
		}
		m.tellToFollow(now, mb, primary)
	}
}

// astray tells whether a member is alive and does not follow the primary.
func (m *Machine) astray(now time.Time, mb, primary *member) bool {
	if !mb.reachable(now, m.cfg.AnnouncementTimeout) {
		return false
	}
	told := mb.follow
	moved := told.term == m.config.Term && told.address != primary.address
	restarted := told.incarnation != 0 && told.incarnation != mb.incarnation
	behind := mb.status.Term < m.config.Term || mb.status.Role == group.RolePrimary
	return moved || restarted || behind || mb.starved(now, m.cfg.ReplicaStalledAfter)
}

func (m *Machine) tellToFollow(now time.Time, mb, primary *member) {
	if now.Before(mb.follow.try) {
		m.wakeAt(mb.follow.try)
		return
	}
	mb.follow.backoff = min(max(2*mb.follow.backoff, followBackoffMin), followBackoffMax)
	mb.follow.try = now.Add(mb.follow.backoff)
	m.wakeAt(mb.follow.try)
	if mb.status.FencedTerm < m.config.Term {
		m.emit(Fence{Server: mb.Server, Term: m.config.Term})
	}
	m.emit(Follow{Server: mb.Server, Term: m.config.Term, Address: primary.address})
}
