package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Effect is an output of a Machine: an action for the caller, which answers all but Publish and Note with an event.
type Effect interface{ effect() }

// Journal asks for a configuration to be journalled if the group's term is still Expect.
//
// A configuration of the same term may only name a primary where none was named before.
type Journal struct {
	Expect group.Term
	Next   group.Configuration
}

// Fence asks a member to promise the term, after which it accepts no records of older terms.
type Fence struct {
	Server group.Server
	Term   group.Term
}

// Wait asks a member to answer once it has received the position.
type Wait struct {
	Server   group.Server
	Term     group.Term
	Position group.Position
	Timeout  time.Duration
}

// Promote asks a fenced member to become the primary of the term.
type Promote struct {
	Server   group.Server
	Term     group.Term
	Position group.Position
}

// Follow asks a member to follow the primary of the term.
type Follow struct {
	Server  group.Server
	Term    group.Term
	Address string
}

// Publish asks for a journalled configuration to be distributed to the entries.
type Publish struct{ Configuration group.Configuration }

// NoteKind identifies a step of a failover in the event log.
type NoteKind string

// The steps of a failover that are reported.
const (
	NoteTermBegun       NoteKind = "termBegun"
	NoteMemberFenced    NoteKind = "memberFenced"
	NotePrimaryPromoted NoteKind = "primaryPromoted"
	NoteFailoverRefused NoteKind = "failoverRefused"
)

// Note reports a step of a failover to operators.
type Note struct {
	Kind   NoteKind
	Server group.Server
	Term   group.Term
	Detail string
}

func (Journal) effect() {}
func (Fence) effect()   {}
func (Wait) effect()    {}
func (Promote) effect() {}
func (Follow) effect()  {}
func (Publish) effect() {}
func (Note) effect()    {}
