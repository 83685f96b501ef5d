package journal

import (
	"fmt"
	"slices"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Index numbers the entries of the journal, from 1.
type Index uint64

// Term numbers the leaders of the journal; each term has at most one leader.
type Term uint64

// MemberID names one data folder of one control process; a folder that was reset gets a new one.
type MemberID uint64

// Member is one control process that takes part in the journal.
type Member struct {
	ID   MemberID               `cbor:"1,keyasint" json:"id"`
	Name inventory.InstanceName `cbor:"2,keyasint" json:"name"`
	// Address takes messages of other processes, as IP and port.
	Address string `cbor:"3,keyasint" json:"address"`
	// OperatorAddress is the address of the operators' interface, as IP and port.
	OperatorAddress string `cbor:"4,keyasint" json:"operators"`
	// Learner members receive entries and count in no majority.
	Learner bool `cbor:"5,keyasint,omitempty" json:"learner,omitempty"`
	// Replaces is removed once this member counts.
	Replaces MemberID `cbor:"6,keyasint,omitempty" json:"replaces,omitempty"`
}

// Membership is the set of members at one point of the journal.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Find returns the member with an id.
func (ms Membership) Find(id MemberID) (Member, bool) {
	i := slices.IndexFunc(ms.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return ms.Members[i], true
}

// Voters returns the ids of the members that count.
func (ms Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range ms.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// with returns a copy in which a member is added or replaced by id.
func (ms Membership) with(member Member) Membership {
	next := ms.without(member.ID)
	next.Members = append(next.Members, member)
	slices.SortFunc(next.Members, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return next
}

// without returns a copy that lacks a member.
func (ms Membership) without(id MemberID) Membership {
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

// EntryKind tells what an entry holds.
type EntryKind string

// The kinds of entries.
const (
	// EntryCommand holds a command of the replicated state.
	EntryCommand EntryKind = "command"
	// EntryMembership holds an encoded Membership.
	EntryMembership EntryKind = "membership"
	// EntryNoOp is the first entry of a leader's term and holds nothing.
	EntryNoOp EntryKind = "begin"
)

// Entry is one record of the journal.
type Entry struct {
	Index Index     `cbor:"1,keyasint"`
	Term  Term      `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Membership decodes an entry of kind EntryMembership.
func (e Entry) Membership() (Membership, error) {
	var membership Membership
	if err := protocol.Decode(e.Data, &membership); err != nil {
		return Membership{}, fmt.Errorf("journal: entry %d: %w", e.Index, err)
	}
	return membership, nil
}

// HardState is what a member promises about terms; it must survive a crash.
type HardState struct {
	Term Term `cbor:"1,keyasint"`
	// Vote is the member that this one voted for in Term, 0 for none.
	Vote MemberID `cbor:"2,keyasint"`
}

// Snapshot is the replicated state up to an index.
type Snapshot struct {
	Index      Index      `cbor:"1,keyasint"`
	Term       Term       `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// Persisted is what a member finds on its disk when it starts.
type Persisted struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}
