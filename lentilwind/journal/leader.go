package journal

import (
	"slices"
	"time"
)

// leadership is what only a leader keeps.
type leadership struct {
	// begin is the index of the first entry of the leader's term.
	begin       Index
	electedAt   time.Time
	heartbeatAt time.Time
	peers       map[MemberID]*peer
	transfer    *transfer
}

// peer is the progress of one other member as its leader sees it.
type peer struct {
	// match is the last entry known to be durable there, next the first to send.
	match, next Index
	// acked is when the newest answered message was sent, heard when its answer came.
	acked, heard time.Time
	// waiting is set while entries or a part of a snapshot are under way since sentAt.
	waiting bool
	sentAt  time.Time
	// snapshot is the index of the snapshot being sent, 0 for none.
	snapshot Index
}

func (l *leadership) deadline() time.Time {
	if l.transfer != nil && l.transfer.until.Before(l.heartbeatAt) {
		return l.transfer.until
	}
	return l.heartbeatAt
}

// beginLeading opens the term with an entry of its own, since earlier terms' entries can only be committed behind one.
func (m *Machine) beginLeading(now time.Time) {
	m.role = RoleLeader
	m.lead = leadership{begin: m.log.last() + 1, electedAt: now, peers: make(map[MemberID]*peer)}
	m.setLeader(m.cfg.ID)
	m.syncPeers()
	m.append(Entry{Index: m.lead.begin, Term: m.hard.Term, Kind: EntryNoOp})
	m.advance()
	m.broadcast(now)
}

// syncPeers follows the membership in use.
func (m *Machine) syncPeers() {
	membership := m.Membership()
	for _, member := range membership.Members {
		if member.ID != m.cfg.ID && m.lead.peers[member.ID] == nil {
			m.lead.peers[member.ID] = &peer{next: m.log.last() + 1}
		}
	}
	for id := range m.lead.peers {
		if _, found := membership.Find(id); !found {
			delete(m.lead.peers, id)
		}
	}
}

// peerIDs returns the other members in a fixed order.
func (m *Machine) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(m.lead.peers))
	for id := range m.lead.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) tickLeader(now time.Time) {
	if now.Sub(m.quorumHeard(now)) > m.cfg.ElectionTimeout {
		m.follow(now, m.hard.Term, 0)
		return
	}
	if m.tickTransfer(now) || now.Before(m.lead.heartbeatAt) {
		return
	}
	m.broadcast(now)
	m.reconcileMembers(now)
}

func (m *Machine) broadcast(now time.Time) {
	m.lead.heartbeatAt = now.Add(m.cfg.HeartbeatInterval)
	for _, id := range m.peerIDs() {
		p := m.lead.peers[id]
		if p.waiting && now.Sub(p.sentAt) >= m.retryAfter(p) {
			p.waiting = false
		}
		m.sendTo(now, id, p)
	}
}

// retryAfter returns when a message without an answer counts as lost.
func (m *Machine) retryAfter(p *peer) time.Duration {
	if p.snapshot != 0 {
		return m.cfg.ElectionTimeout
	}
	return m.cfg.HeartbeatInterval
}

// sendTo sends what a member lacks; while an earlier message is under way it sends only a heartbeat.
func (m *Machine) sendTo(now time.Time, id MemberID, p *peer) {
	if p.snapshot != 0 || p.next <= m.log.baseIndex {
		m.sendSnapshot(now, id, p)
		return
	}
	msg := Message{Type: MessageAppend, To: id, Index: p.next - 1, Commit: m.commit, Sent: m.stamp(now)}
	msg.LogTerm, _ = m.log.term(msg.Index)
	if !p.waiting {
		msg.Entries = m.log.slice(p.next, m.cfg.BatchBytes)
		p.waiting, p.sentAt = len(msg.Entries) > 0, now
	}
	m.send(msg)
}

func (m *Machine) stamp(now time.Time) Timestamp { return Timestamp(now.Sub(m.start)) }

// onAnswer notes that a member answered a message of this leader.
func (m *Machine) onAnswer(now time.Time, msg Message) *peer {
	p := m.lead.peers[msg.From]
	if m.role != RoleLeader || p == nil {
		return nil
	}
	p.heard = now
	if sent := m.start.Add(time.Duration(msg.Sent)); msg.Sent != 0 && sent.After(p.acked) {
		p.acked = sent
	}
	return p
}

func (m *Machine) onAppendReply(now time.Time, msg Message) {
	p := m.onAnswer(now, msg)
	if p == nil {
		return
	}
	if msg.Reject {
		m.backOff(now, msg, p)
		return
	}
	p.match = max(p.match, msg.Index)
	if p.snapshot != 0 && p.match >= m.log.baseIndex {
		p.snapshot, p.next, p.waiting = 0, p.match+1, false
	}
	if msg.Index >= p.next {
		p.next, p.waiting = msg.Index+1, false
	}
	if m.advance() {
		m.broadcast(now)
	} else if !p.waiting && p.snapshot == 0 && p.next <= m.log.last() {
		m.sendTo(now, msg.From, p)
	}
	m.reconcileMembers(now)
}

// backOff finds the next place at which a rejecting member's log may match.
func (m *Machine) backOff(now time.Time, msg Message, p *peer) {
	if p.snapshot != 0 || msg.Index != p.next-1 || msg.Index <= p.match {
		return
	}
	next := min(msg.Hint, msg.Index)
	for index := msg.Index; msg.HintTerm != 0 && index > next; index-- {
		if term, held := m.log.term(index); held && term == msg.HintTerm {
			next = index + 1
			break
		}
	}
	p.next, p.waiting = max(next, p.match+1), false
	m.sendTo(now, msg.From, p)
}

// advance commits what a majority holds; true means that there is something new to tell.
func (m *Machine) advance() bool {
	index := m.quorumMatch()
	term, held := m.log.term(index)
	if index <= m.commit || !held {
		return false
	}
	if term != m.hard.Term && m.cfg.fault != faultOldTermCounted {
		return false
	}
	m.commitTo(index)
	return true
}

// quorumMatch returns the last index that a majority of the voters holds.
func (m *Machine) quorumMatch() Index {
	voters := m.Membership().Voters()
	if m.cfg.fault == faultLearnerCounted {
		return m.matchOf(append(m.peerIDs(), m.cfg.ID), len(voters)/2+1)
	}
	return m.matchOf(voters, len(voters)/2+1)
}

// matchOf returns the last index that a number of the given members holds.
func (m *Machine) matchOf(ids []MemberID, quorum int) Index {
	var matches []Index
	for _, id := range ids {
		switch p := m.lead.peers[id]; {
		case id == m.cfg.ID:
			matches = append(matches, m.log.last())
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	if len(matches) < quorum {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-quorum]
}

// quorumTime returns the newest time that a majority of the voters has reached; the leader itself stands at now.
func (m *Machine) quorumTime(now time.Time, of func(*peer) time.Time) time.Time {
	voters := m.Membership().Voters()
	times := make([]time.Time, 0, len(voters))
	for _, id := range voters {
		at := m.start
		if p := m.lead.peers[id]; p != nil {
			at = of(p)
		}
		if id == m.cfg.ID {
			at = now
		}
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// quorumHeard returns when a majority was last heard of.
func (m *Machine) quorumHeard(now time.Time) time.Time {
	return m.quorumTime(now, func(p *peer) time.Time {
		if p.heard.Before(m.lead.electedAt) {
			return m.lead.electedAt
		}
		return p.heard
	})
}

// Lease returns until when no other member can lead.
//
// A follower supports no other member for Config.Election after it got a message, and the lease counts a little less from
// when that message was sent; so it ends first as long as the clocks' rates differ by no more than DriftPercent. It is given
// only once everything that earlier leaders committed is committed here too.
func (m *Machine) Lease(now time.Time) (until time.Time, held bool) {
	if m.role != RoleLeader || m.commit < m.lead.begin || m.lead.transfer.handedOver() {
		return time.Time{}, false
	}
	until = m.quorumTime(now, func(p *peer) time.Time { return p.acked }).Add(m.leaseLength())
	return until, now.Before(until)
}

func (m *Machine) leaseLength() time.Duration {
	if m.cfg.fault == faultLongLease {
		return m.cfg.ElectionTimeout * (100 + DriftPercent) / 100
	}
	return m.cfg.ElectionTimeout * (100 - DriftPercent) / 100
}

// TermStart returns the index of the first entry of the leader's term, 0 for any other member.
func (m *Machine) TermStart() Index { return m.lead.begin }

// Progress is what a leader knows of another member.
type Progress struct {
	Member Member
	// MatchIndex is the last entry known to be durable there.
	MatchIndex Index
	// LastContact is when it last answered, the zero time for never.
	LastContact time.Time
}

// Progress returns what a leader knows of the other members, ordered by id; nothing for any other member.
func (m *Machine) Progress() []Progress {
	var all []Progress
	for _, member := range m.Membership().Members {
		if p := m.lead.peers[member.ID]; p != nil {
			all = append(all, Progress{Member: member, MatchIndex: p.match, LastContact: p.heard})
		}
	}
	return all
}
