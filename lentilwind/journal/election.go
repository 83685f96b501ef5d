package journal

import "time"

// hearsLeader tells whether the member may still owe loyalty to a leader.
func (m *Machine) hearsLeader(now time.Time) bool {
	if m.cfg.fault == faultDisloyalVoter {
		return false
	}
	if m.cfg.fault == faultForgetfulVoter && m.leader == 0 && m.heard.Equal(m.start) {
		return false
	}
	return m.role == RoleLeader || now.Before(m.heard.Add(m.cfg.ElectionTimeout))
}

// campaign asks others whether they would vote; nothing changes until a majority would.
func (m *Machine) campaign(now time.Time) {
	m.retryCampaign(now)
	if !m.isVoter() {
		return
	}
	m.follow(now, m.hard.Term, 0)
	if m.isOnlyVoter() {
		m.stand(now, false)
		return
	}
	m.role = RolePreCandidate
	m.votes = map[MemberID]bool{m.cfg.ID: true}
	m.askVoters(Message{Type: MessagePreVote, Term: m.hard.Term + 1})
}

// retryCampaign draws a time to campaign again; the member owes no loyalty any more, so it waits only half as long.
func (m *Machine) retryCampaign(now time.Time) {
	m.campaignAt = now.Add(m.cfg.RandomTimeout(m.cfg.Random, m.cfg.ElectionTimeout) / 2)
}

// stand begins a new term as its candidate.
func (m *Machine) stand(now time.Time, transfer bool) {
	m.role = RoleCandidate
	m.setLeader(0)
	m.hard = HardState{Term: m.hard.Term + 1, Vote: m.cfg.ID}
	m.out = append(m.out, Save{HardState: m.hard})
	m.votes = map[MemberID]bool{m.cfg.ID: true}
	m.retryCampaign(now)
	if m.hasVotes() {
		m.beginLeading(now)
		return
	}
	m.askVoters(Message{Type: MessageVote, Transfer: transfer})
}

func (m *Machine) askVoters(msg Message) {
	msg.Index, msg.LogTerm = m.log.last(), m.log.lastTerm()
	for _, voter := range m.Membership().Voters() {
		if voter != m.cfg.ID {
			msg.To = voter
			m.send(msg)
		}
	}
}

func (m *Machine) hasVotes() bool {
	voters := m.Membership().Voters()
	granted := 0
	for _, voter := range voters {
		if m.votes[voter] {
			granted++
		}
	}
	return granted > len(voters)/2
}

// upToDate tells whether a candidate's log holds all that this member's may have helped to commit.
func (m *Machine) upToDate(msg Message) bool {
	if msg.LogTerm != m.log.lastTerm() {
		return msg.LogTerm > m.log.lastTerm()
	}
	return msg.Index >= m.log.last()
}

func (m *Machine) onPreVote(msg Message) {
	reply := Message{Type: MessagePreVoteReply, To: msg.From, Term: msg.Term}
	if msg.Term <= m.hard.Term || !m.upToDate(msg) {
		reply.Reject, reply.Term = true, m.hard.Term
	}
	m.send(reply)
}

func (m *Machine) onVote(now time.Time, msg Message) {
	free := m.hard.Vote == 0 || m.hard.Vote == msg.From
	if !free || m.role == RoleLeader || !m.upToDate(msg) {
		m.send(Message{Type: MessageVoteReply, To: msg.From, Reject: true})
		return
	}
	m.hard.Vote = msg.From
	m.out = append(m.out, Save{HardState: m.hard})
	m.postpone(now)
	m.send(Message{Type: MessageVoteReply, To: msg.From})
}

func (m *Machine) onVoteReply(now time.Time, msg Message) {
	asked := m.role == RoleCandidate && msg.Type == MessageVoteReply && msg.Term == m.hard.Term ||
		m.role == RolePreCandidate && msg.Type == MessagePreVoteReply && msg.Term == m.hard.Term+1
	if !asked || msg.Reject {
		return
	}
	m.votes[msg.From] = true
	if !m.hasVotes() {
		return
	}
	if m.role == RolePreCandidate {
		m.stand(now, false)
		return
	}
	m.beginLeading(now)
}

// onCampaign takes over from a leader that has asked for it.
func (m *Machine) onCampaign(now time.Time, msg Message) {
	if msg.Term != m.hard.Term || m.role == RoleLeader || !m.isVoter() {
		return
	}
	m.stand(now, true)
}
