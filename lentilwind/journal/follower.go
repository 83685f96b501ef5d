package journal

import (
	"fmt"
	"time"
)

// acknowledgeLeader notes that the leader of the term was heard.
func (m *Machine) acknowledgeLeader(now time.Time, msg Message) {
	if m.role == RoleLeader && m.cfg.fault == "" {
		panic(fmt.Sprintf("journal: members %d and %d both lead term %d", m.cfg.ID, msg.From, msg.Term))
	}
	m.follow(now, m.hard.Term, msg.From)
	m.heard = now
	m.postpone(now)
}

func (m *Machine) onAppend(now time.Time, msg Message) {
	m.acknowledgeLeader(now, msg)
	reply := Message{Type: MessageAppendReply, To: msg.From, Sent: msg.Sent}
	if msg.Index < m.commit {
		msg = m.skipCommitted(msg)
	}
	if term, held := m.log.term(msg.Index); !held || term != msg.LogTerm {
		reply.Reject, reply.Index = true, msg.Index
		reply.Hint, reply.HintTerm = m.conflict(msg)
		m.send(reply)
		return
	}
	reply.Index = msg.Index + Index(len(msg.Entries))
	if news := m.withoutKnown(msg.Entries); len(news) > 0 {
		if news[0].Index <= m.commit {
			panic(fmt.Sprintf("journal: entry %d is final and cannot be replaced", news[0].Index))
		}
		m.append(news...)
	}
	m.commitTo(min(msg.Commit, reply.Index))
	m.send(reply)
}

// skipCommitted drops entries that are final here already.
func (m *Machine) skipCommitted(msg Message) Message {
	skip := min(m.commit-msg.Index, Index(len(msg.Entries)))
	msg.Entries = msg.Entries[skip:]
	msg.Index = m.commit
	msg.LogTerm, _ = m.log.term(m.commit)
	return msg
}

// withoutKnown drops leading entries that the log holds already, because a late message may carry only the begin of it.
func (m *Machine) withoutKnown(entries []Entry) []Entry {
	for i, entry := range entries {
		if term, held := m.log.term(entry.Index); !held || term != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

// conflict returns the first entry of the term in which the log differs, or the end of a log that is too short.
func (m *Machine) conflict(msg Message) (Index, Term) {
	if msg.Index > m.log.last() {
		return m.log.last() + 1, 0
	}
	index := msg.Index
	term, _ := m.log.term(index)
	for index-1 > m.commit {
		previous, held := m.log.term(index - 1)
		if !held || previous != term {
			break
		}
		index--
	}
	return index, term
}
