package journal

import (
	"fmt"
	"time"
)

// NotLeaderError refuses a change that only the leader can make.
type NotLeaderError struct {
	// Leader is 0 while none is known.
	Leader MemberID
}

// Error formats the refusal.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "journal: no leader is known"
	}
	return fmt.Sprintf("journal: member %d leads", e.Leader)
}

// Position names an entry once and for all: no other entry has the same index and term.
type Position struct {
	Index Index
	Term  Term
}

// Propose appends commands; they are final once a Commit effect carries an entry with the returned index and term.
//
// The position is that of the first command; the others follow it.
func (m *Machine) Propose(now time.Time, commands ...[]byte) (Position, []Effect, error) {
	if m.role != RoleLeader || m.lead.transfer != nil {
		return Position{}, nil, &NotLeaderError{Leader: m.leader}
	}
	first := m.log.last() + 1
	entries := make([]Entry, len(commands))
	for i, command := range commands {
		entries[i] = Entry{Index: first + Index(i), Term: m.hard.Term, Kind: EntryCommand, Data: command}
	}
	m.replicate(now, entries...)
	return Position{Index: first, Term: m.hard.Term}, m.take(), nil
}

// replicate appends entries and sends them to members that wait for nothing else.
func (m *Machine) replicate(now time.Time, entries ...Entry) {
	m.append(entries...)
	m.syncPeers()
	for _, id := range m.peerIDs() {
		if p := m.lead.peers[id]; !p.waiting {
			m.sendTo(now, id, p)
		}
	}
	m.advance()
}
