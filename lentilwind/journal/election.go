package journal

import "time"

// hasActiveLeader reports whether the member may still be bound to a leader, whose lease relies on the member supporting no
// other candidate.
func (m *Machine) hasActiveLeader(now time.Time) bool {
	if m.cfg.fault == faultVoteDespiteLeader {
		return false
	}
	if m.cfg.fault == faultVoteAfterRestart && m.leader == 0 && m.lastLeaderContact.Equal(m.start) {
		return false
	}
	return m.role == RoleLeader || now.Before(m.lastLeaderContact.Add(m.cfg.ElectionTimeout))
}

// startPreVote asks the voters whether they would vote for this member; the term only changes once a majority would.
func (m *Machine) startPreVote(now time.Time) {
	m.resetCandidateTimer(now)
	if !m.isVoter() {
		return
	}
	m.becomeFollower(now, m.hardState.Term, 0)
	if m.isOnlyVoter() {
		m.startElection(now, false)
		return
	}
	m.role = RolePreCandidate
	m.votes = map[MemberID]bool{m.cfg.ID: true}
	m.requestVotes(Message{Type: MessagePreVote, Term: m.hardState.Term + 1})
}

// resetCandidateTimer draws the deadline for the next attempt. The member is no longer bound to a leader, so it waits only
// half as long.
func (m *Machine) resetCandidateTimer(now time.Time) {
	m.electionDeadline = now.Add(m.cfg.RandomTimeout(m.cfg.Random, m.cfg.ElectionTimeout) / 2)
}

// startElection starts a new term with this member as candidate.
func (m *Machine) startElection(now time.Time, transfer bool) {
	m.role = RoleCandidate
	m.setLeader(0)
	m.hardState = HardState{Term: m.hardState.Term + 1, Vote: m.cfg.ID}
	m.effects = append(m.effects, Save{HardState: m.hardState})
	m.votes = map[MemberID]bool{m.cfg.ID: true}
	m.resetCandidateTimer(now)
	if m.hasMajorityOfVotes() {
		m.becomeLeader(now)
		return
	}
	m.requestVotes(Message{Type: MessageVote, Transfer: transfer})
}

func (m *Machine) requestVotes(msg Message) {
	msg.Index, msg.LogTerm = m.log.lastIndex(), m.log.lastTerm()
	for _, voter := range m.Membership().Voters() {
		if voter != m.cfg.ID {
			msg.To = voter
			m.send(msg)
		}
	}
}

func (m *Machine) hasMajorityOfVotes() bool {
	voters := m.Membership().Voters()
	granted := 0
	for _, voter := range voters {
		if m.votes[voter] {
			granted++
		}
	}
	return granted > len(voters)/2
}

// isUpToDate reports whether a candidate's log is at least as up to date as this one, so that it holds every entry that
// this member may have helped to commit.
func (m *Machine) isUpToDate(msg Message) bool {
	if msg.LogTerm != m.log.lastTerm() {
		return msg.LogTerm > m.log.lastTerm()
	}
	return msg.Index >= m.log.lastIndex()
}

func (m *Machine) onPreVote(msg Message) {
	reply := Message{Type: MessagePreVoteReply, To: msg.From, Term: msg.Term}
	if msg.Term <= m.hardState.Term || !m.isUpToDate(msg) {
		reply.Reject, reply.Term = true, m.hardState.Term
	}
	m.send(reply)
}

func (m *Machine) onVote(now time.Time, msg Message) {
	canVote := m.hardState.Vote == 0 || m.hardState.Vote == msg.From
	if !canVote || m.role == RoleLeader || !m.isUpToDate(msg) {
		m.send(Message{Type: MessageVoteReply, To: msg.From, Reject: true})
		return
	}
	m.hardState.Vote = msg.From
	m.effects = append(m.effects, Save{HardState: m.hardState})
	m.resetElectionTimer(now)
	m.send(Message{Type: MessageVoteReply, To: msg.From})
}

func (m *Machine) onVoteReply(now time.Time, msg Message) {
	expected := m.role == RoleCandidate && msg.Type == MessageVoteReply && msg.Term == m.hardState.Term ||
		m.role == RolePreCandidate && msg.Type == MessagePreVoteReply && msg.Term == m.hardState.Term+1
	if !expected || msg.Reject {
		return
	}
	m.votes[msg.From] = true
	if !m.hasMajorityOfVotes() {
		return
	}
	if m.role == RolePreCandidate {
		m.startElection(now, false)
		return
	}
	m.becomeLeader(now)
}

// onCampaign starts an election because the leader hands over the leadership.
func (m *Machine) onCampaign(now time.Time, msg Message) {
	if msg.Term != m.hardState.Term || m.role == RoleLeader || !m.isVoter() {
		return
	}
	m.startElection(now, true)
}
