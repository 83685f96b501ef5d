package journal

import (
	"fmt"
	"time"
)

// NotLeaderError reports that a request was made to a member that is not the leader.
type NotLeaderError struct {
	// Leader is 0 while no leader is known.
	Leader MemberID
}

// Error names the leader, if one is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "journal: no leader is known"
	}
	return fmt.Sprintf("journal: member %d leads", e.Leader)
}

// Position uniquely identifies an entry: no two entries have the same index and term.
type Position struct {
	Index Index
	Term  Term
}

// Propose appends commands to the log and returns the position of the first; the others follow it.
//
// The commands are committed once an Apply effect contains an entry with the index and term of the position.
func (m *Machine) Propose(now time.Time, commands ...[]byte) (Position, []Effect, error) {
	if m.role != RoleLeader || m.leaderState.transfer != nil {
		return Position{}, nil, &NotLeaderError{Leader: m.leader}
	}
	first := m.log.lastIndex() + 1
	entries := make([]Entry, len(commands))
	for i, command := range commands {
		entries[i] = Entry{Index: first + Index(i), Term: m.hardState.Term, Kind: EntryCommand, Data: command}
	}
	m.replicate(now, entries...)
	return Position{Index: first, Term: m.hardState.Term}, m.takeEffects(), nil
}

// replicate appends entries and sends them to the members that have no message in flight.
func (m *Machine) replicate(now time.Time, entries ...Entry) {
	m.append(entries...)
	m.syncPeers()
	for _, id := range m.peerIDs() {
		if p := m.leaderState.peers[id]; !p.inFlight {
			m.replicateTo(now, id, p)
		}
	}
	m.advanceCommitIndex()
}
