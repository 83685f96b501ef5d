package journal

import (
	"fmt"
	"time"
)

// recordLeaderContact follows the leader that sent msg and resets the election timer.
func (m *Machine) recordLeaderContact(now time.Time, msg Message) {
	if m.role == RoleLeader && m.cfg.fault == "" {
		panic(fmt.Sprintf("journal: members %d and %d are both leaders of term %d", m.cfg.ID, msg.From, msg.Term))
	}
	m.becomeFollower(now, m.hardState.Term, msg.From)
	m.lastLeaderContact = now
	m.resetElectionTimer(now)
}

func (m *Machine) onAppend(now time.Time, msg Message) {
	m.recordLeaderContact(now, msg)
	reply := Message{Type: MessageAppendReply, To: msg.From, Sent: msg.Sent}
	if msg.Index < m.commitIndex {
		msg = m.skipCommitted(msg)
	}
	if term, held := m.log.term(msg.Index); !held || term != msg.LogTerm {
		reply.Reject, reply.Index = true, msg.Index
		reply.Hint, reply.HintTerm = m.conflictHint(msg)
		m.send(reply)
		return
	}
	reply.Index = msg.Index + Index(len(msg.Entries))
	if missing := m.missingEntries(msg.Entries); len(missing) > 0 {
		if missing[0].Index <= m.commitIndex {
			panic(fmt.Sprintf("journal: entry %d is committed and cannot be replaced", missing[0].Index))
		}
		m.append(missing...)
	}
	m.commitUpTo(min(msg.Commit, reply.Index))
	m.send(reply)
}

// skipCommitted drops entries that are already committed on this member.
func (m *Machine) skipCommitted(msg Message) Message {
	skip := min(m.commitIndex-msg.Index, Index(len(msg.Entries)))
	msg.Entries = msg.Entries[skip:]
	msg.Index = m.commitIndex
	msg.LogTerm, _ = m.log.term(m.commitIndex)
	return msg
}

// missingEntries drops leading entries that the log already holds. A delayed message may carry only some of the entries that
// the log holds by now; appending all of it would truncate the log.
func (m *Machine) missingEntries(entries []Entry) []Entry {
	for i, entry := range entries {
		if term, held := m.log.term(entry.Index); !held || term != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

// conflictHint returns the first entry of the conflicting term, or the end of a log that is too short.
func (m *Machine) conflictHint(msg Message) (Index, Term) {
	if msg.Index > m.log.lastIndex() {
		return m.log.lastIndex() + 1, 0
	}
	index := msg.Index
	term, _ := m.log.term(index)
	for index-1 > m.commitIndex {
		previous, held := m.log.term(index - 1)
		if !held || previous != term {
			break
		}
		index--
	}
	return index, term
}
