package journal

import (
	"slices"
	"time"
)

// leaderState is the volatile state of a leader.
type leaderState struct {
	// termStart is the index of the first entry of the leader's term.
	termStart     Index
	electedAt     time.Time
	nextHeartbeat time.Time
	peers         map[MemberID]*peer
	transfer      *transfer
}

// peer is the replication progress of another member.
type peer struct {
	// matchIndex is the last entry known to be durable on the member, nextIndex the next one to send.
	matchIndex, nextIndex Index
	// ackedSentAt is when the leader sent the latest message that was answered, lastContact when the last answer arrived.
	ackedSentAt, lastContact time.Time
	// inFlight is set while the answer to entries or to a snapshot chunk sent at sentAt is outstanding.
	inFlight bool
	sentAt   time.Time
	// snapshotIndex is the index of the snapshot being sent, 0 for none.
	snapshotIndex Index
}

func (l *leaderState) deadline() time.Time {
	if l.transfer != nil && l.transfer.deadline.Before(l.nextHeartbeat) {
		return l.transfer.deadline
	}
	return l.nextHeartbeat
}

// becomeLeader starts the term with a no-op entry, because entries of earlier terms are only committed by committing a
// later entry of the current term.
func (m *Machine) becomeLeader(now time.Time) {
	m.role = RoleLeader
	m.leaderState = leaderState{termStart: m.log.lastIndex() + 1, electedAt: now, peers: make(map[MemberID]*peer)}
	m.setLeader(m.cfg.ID)
	m.syncPeers()
	m.append(Entry{Index: m.leaderState.termStart, Term: m.hardState.Term, Kind: EntryNoOp})
	m.advanceCommitIndex()
	m.broadcast(now)
}

// syncPeers adds and removes peers to match the membership in effect.
func (m *Machine) syncPeers() {
	membership := m.Membership()
	for _, member := range membership.Members {
		if member.ID != m.cfg.ID && m.leaderState.peers[member.ID] == nil {
			m.leaderState.peers[member.ID] = &peer{nextIndex: m.log.lastIndex() + 1}
		}
	}
	for id := range m.leaderState.peers {
		if _, found := membership.Find(id); !found {
			delete(m.leaderState.peers, id)
		}
	}
}

// peerIDs returns the IDs of the other members in ascending order.
func (m *Machine) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(m.leaderState.peers))
	for id := range m.leaderState.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) tickLeader(now time.Time) {
	if now.Sub(m.quorumContact(now)) > m.cfg.ElectionTimeout {
		m.becomeFollower(now, m.hardState.Term, 0)
		return
	}
	if m.tickTransfer(now) || now.Before(m.leaderState.nextHeartbeat) {
		return
	}
	m.broadcast(now)
	m.continueMembershipChange(now)
}

func (m *Machine) broadcast(now time.Time) {
	m.leaderState.nextHeartbeat = now.Add(m.cfg.HeartbeatInterval)
	for _, id := range m.peerIDs() {
		p := m.leaderState.peers[id]
		if p.inFlight && now.Sub(p.sentAt) >= m.retryTimeout(p) {
			p.inFlight = false
		}
		m.replicateTo(now, id, p)
	}
}

// retryTimeout returns after how long an unanswered message counts as lost.
func (m *Machine) retryTimeout(p *peer) time.Duration {
	if p.snapshotIndex != 0 {
		return m.cfg.ElectionTimeout
	}
	return m.cfg.HeartbeatInterval
}

// replicateTo sends the entries or the snapshot that a member lacks; while an earlier message is in flight it sends only a
// heartbeat.
func (m *Machine) replicateTo(now time.Time, id MemberID, p *peer) {
	if p.snapshotIndex != 0 || p.nextIndex <= m.log.baseIndex {
		m.sendSnapshot(now, id, p)
		return
	}
	msg := Message{Type: MessageAppend, To: id, Index: p.nextIndex - 1, Commit: m.commitIndex, Sent: m.timestamp(now)}
	msg.LogTerm, _ = m.log.term(msg.Index)
	if !p.inFlight {
		msg.Entries = m.log.entriesFrom(p.nextIndex, m.cfg.BatchBytes)
		p.inFlight, p.sentAt = len(msg.Entries) > 0, now
	}
	m.send(msg)
}

func (m *Machine) timestamp(now time.Time) Timestamp { return Timestamp(now.Sub(m.start)) }

// recordReply records that a member answered a message; it returns nil if this member does not lead or has no such peer.
func (m *Machine) recordReply(now time.Time, msg Message) *peer {
	p := m.leaderState.peers[msg.From]
	if m.role != RoleLeader || p == nil {
		return nil
	}
	p.lastContact = now
	if sent := m.start.Add(time.Duration(msg.Sent)); msg.Sent != 0 && sent.After(p.ackedSentAt) {
		p.ackedSentAt = sent
	}
	return p
}

func (m *Machine) onAppendReply(now time.Time, msg Message) {
	p := m.recordReply(now, msg)
	if p == nil {
		return
	}
	if msg.Reject {
		m.retryFromHint(now, msg, p)
		return
	}
	p.matchIndex = max(p.matchIndex, msg.Index)
	if p.snapshotIndex != 0 && p.matchIndex >= m.log.baseIndex {
		p.snapshotIndex, p.nextIndex, p.inFlight = 0, p.matchIndex+1, false
	}
	if msg.Index >= p.nextIndex {
		p.nextIndex, p.inFlight = msg.Index+1, false
	}
	if m.advanceCommitIndex() {
		m.broadcast(now)
	} else if !p.inFlight && p.snapshotIndex == 0 && p.nextIndex <= m.log.lastIndex() {
		m.replicateTo(now, msg.From, p)
	}
	m.continueMembershipChange(now)
}

// retryFromHint resumes replication at the next index at which the log of a rejecting member may match.
func (m *Machine) retryFromHint(now time.Time, msg Message, p *peer) {
	if p.snapshotIndex != 0 || msg.Index != p.nextIndex-1 || msg.Index <= p.matchIndex {
		return
	}
	next := min(msg.Hint, msg.Index)
	for index := msg.Index; msg.HintTerm != 0 && index > next; index-- {
		if term, held := m.log.term(index); held && term == msg.HintTerm {
			next = index + 1
			break
		}
	}
	p.nextIndex, p.inFlight = max(next, p.matchIndex+1), false
	m.replicateTo(now, msg.From, p)
}

// advanceCommitIndex commits what a majority of the voters holds and reports whether the commit index has changed.
func (m *Machine) advanceCommitIndex() bool {
	index := m.quorumMatchIndex()
	term, held := m.log.term(index)
	if index <= m.commitIndex || !held {
		return false
	}
	if term != m.hardState.Term && m.cfg.fault != faultOldTermCounted {
		return false
	}
	m.commitUpTo(index)
	return true
}

// quorumMatchIndex returns the last index that a majority of the voters holds.
func (m *Machine) quorumMatchIndex() Index {
	voters := m.Membership().Voters()
	if m.cfg.fault == faultLearnerCounted {
		return m.replicatedIndex(append(m.peerIDs(), m.cfg.ID), len(voters)/2+1)
	}
	return m.replicatedIndex(voters, len(voters)/2+1)
}

// replicatedIndex returns the last index that at least quorum of the given members hold.
func (m *Machine) replicatedIndex(ids []MemberID, quorum int) Index {
	var matches []Index
	for _, id := range ids {
		switch p := m.leaderState.peers[id]; {
		case id == m.cfg.ID:
			matches = append(matches, m.log.lastIndex())
		case p != nil:
			matches = append(matches, p.matchIndex)
		}
	}
	if len(matches) < quorum {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-quorum]
}

// quorumTime returns the latest time that a majority of the voters has reached according to timeOf; this member counts as
// being at now.
func (m *Machine) quorumTime(now time.Time, timeOf func(*peer) time.Time) time.Time {
	voters := m.Membership().Voters()
	times := make([]time.Time, 0, len(voters))
	for _, id := range voters {
		t := m.start
		if p := m.leaderState.peers[id]; p != nil {
			t = timeOf(p)
		}
		if id == m.cfg.ID {
			t = now
		}
		times = append(times, t)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// quorumContact returns the latest time such that a majority of the voters has answered at or after it.
func (m *Machine) quorumContact(now time.Time) time.Time {
	return m.quorumTime(now, func(p *peer) time.Time {
		if p.lastContact.Before(m.leaderState.electedAt) {
			return m.leaderState.electedAt
		}
		return p.lastContact
	})
}

// Lease returns until when no other member can become leader, and whether that time is still ahead.
//
// A follower supports no other candidate for Config.ElectionTimeout after it received a message. The lease is a little shorter
// and starts when that message was sent, so it expires first as long as the rates of the clocks differ by no more than
// DriftPercent. A leader has no lease until it has committed everything that earlier leaders committed.
func (m *Machine) Lease(now time.Time) (until time.Time, held bool) {
	if m.role != RoleLeader || m.commitIndex < m.leaderState.termStart || m.leaderState.transfer.hasBeenRequested() {
		return time.Time{}, false
	}
	until = m.quorumTime(now, func(p *peer) time.Time { return p.ackedSentAt }).Add(m.leaseDuration())
	return until, now.Before(until)
}

func (m *Machine) leaseDuration() time.Duration {
	if m.cfg.fault == faultLongLease {
		return m.cfg.ElectionTimeout * (100 + DriftPercent) / 100
	}
	return m.cfg.ElectionTimeout * (100 - DriftPercent) / 100
}

// TermStart returns the index of the first entry of the leader's term, 0 if this member does not lead.
func (m *Machine) TermStart() Index { return m.leaderState.termStart }

// Progress is the replication progress of a member as the leader knows it.
type Progress struct {
	Member Member
	// MatchIndex is the last entry known to be durable on the member.
	MatchIndex Index
	// LastContact is when the member last answered, the zero time if it never did.
	LastContact time.Time
}

// Progress returns the progress of the other members, sorted by ID; it is empty if this member does not lead.
func (m *Machine) Progress() []Progress {
	var progress []Progress
	for _, member := range m.Membership().Members {
		if p := m.leaderState.peers[member.ID]; p != nil {
			progress = append(progress, Progress{Member: member, MatchIndex: p.matchIndex, LastContact: p.lastContact})
		}
	}
	return progress
}
