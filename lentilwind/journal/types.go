package journal

import (
	"fmt"
	"slices"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Index is the position of an entry in the journal, starting at 1.
type Index uint64

// Term is an election term; each term has at most one leader.
type Term uint64

// MemberID identifies the data folder of a control process; a folder that was reset gets a new ID.
type MemberID uint64

// Member is a control process that takes part in the journal.
type Member struct {
	ID   MemberID               `cbor:"1,keyasint" json:"id"`
	Name inventory.InstanceName `cbor:"2,keyasint" json:"name"`
	// Address is where the process receives messages from other processes, as IP and port.
	Address string `cbor:"3,keyasint" json:"address"`
	// OperatorAddress is the address of the operators' API, as IP and port.
	OperatorAddress string `cbor:"4,keyasint" json:"operators"`
	// Learner marks a member that receives entries but does not vote.
	Learner bool `cbor:"5,keyasint,omitempty" json:"learner,omitempty"`
	// Replaces is the member to remove once this one has become a voter, 0 for none.
	Replaces MemberID `cbor:"6,keyasint,omitempty" json:"replaces,omitempty"`
}

// Membership is the set of members as of an index of the journal.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Find returns the member with the given ID.
func (ms Membership) Find(id MemberID) (Member, bool) {
	i := slices.IndexFunc(ms.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return ms.Members[i], true
}

// Voters returns the IDs of the members that are not learners.
func (ms Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range ms.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// withMember returns a copy in which the given member is added, or replaces the one with its ID.
func (ms Membership) withMember(member Member) Membership {
	next := ms.withoutMember(member.ID)
	next.Members = append(next.Members, member)
	slices.SortFunc(next.Members, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return next
}

// withoutMember returns a copy without the given member.
func (ms Membership) withoutMember(id MemberID) Membership {
	members := slices.Clone(ms.Members)
	return Membership{Members: slices.DeleteFunc(members, func(m Member) bool { return m.ID == id })}
}

func compareIDs(a, b MemberID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// EntryKind is the kind of an entry.
type EntryKind string

// The kinds of entries.
const (
	// EntryCommand holds a command for the replicated state.
	EntryCommand EntryKind = "command"
	// EntryMembership holds an encoded Membership.
	EntryMembership EntryKind = "membership"
	// EntryNoOp is the empty first entry of a leader's term.
	EntryNoOp EntryKind = "begin"
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index Index     `cbor:"1,keyasint"`
	Term  Term      `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Membership decodes the membership in an entry of kind EntryMembership.
func (e Entry) Membership() (Membership, error) {
	var membership Membership
	if err := protocol.Decode(e.Data, &membership); err != nil {
		return Membership{}, fmt.Errorf("journal: entry %d: %w", e.Index, err)
	}
	return membership, nil
}

// HardState is the term and vote of a member, which must survive a crash.
type HardState struct {
	Term Term `cbor:"1,keyasint"`
	// Vote is the member that received the vote in Term, 0 for none.
	Vote MemberID `cbor:"2,keyasint"`
}

// Snapshot is the replicated state up to and including an index.
type Snapshot struct {
	Index      Index      `cbor:"1,keyasint"`
	Term       Term       `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// Persisted is the state that a member loads from disk when it starts.
type Persisted struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}
