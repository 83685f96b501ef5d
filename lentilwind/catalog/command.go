package catalog

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Command is one change of the state; exactly one field is set.
type Command struct {
	ApplyInventory *ApplyInventory `cbor:"1,keyasint,omitempty"`
	SetGroup       *SetGroup       `cbor:"2,keyasint,omitempty"`
	RecordFailure  *RecordFailure  `cbor:"3,keyasint,omitempty"`
}

// ApplyInventory accepts a document as the successor of its base revision.
type ApplyInventory struct {
	Operation protocol.OperationID `cbor:"1,keyasint"`
	Base      inventory.Revision   `cbor:"2,keyasint"`
	Document  string               `cbor:"3,keyasint"`
	Operator  string               `cbor:"4,keyasint"`
	Accepted  time.Time            `cbor:"5,keyasint"`
}

// SetGroup replaces the configuration of one group while its term is still the expected one.
//
// The new term must be higher. The same term is allowed only to name the primary of a term that has none, or to repeat
// what already holds.
type SetGroup struct {
	ExpectedTerm  group.Term          `cbor:"1,keyasint"`
	Configuration group.Configuration `cbor:"2,keyasint"`
	// Address is where the named primary took connections, so that a later leader can probe one that it never heard.
	Address string `cbor:"3,keyasint,omitempty"`
}

// RecordFailure notes servers that vanished together.
type RecordFailure struct {
	Servers []group.Server `cbor:"1,keyasint"`
	At      time.Time      `cbor:"2,keyasint"`
}

// Outcome tells what became of a command.
type Outcome string

// The outcomes of commands.
const (
	// OutcomeAccepted means that the command is in the state, by this or an earlier sending.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that the state had moved on from what the command expected.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid means that the command can never be accepted.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnreadable means that this build refuses what another one has accepted; the process must not go on.
	OutcomeUnreadable Outcome = "unreadable"
)

// Result is what a command led to; it is the same on every replica.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Message explains an outcome that is not accepted.
	Message string `cbor:"2,keyasint,omitempty"`
	// Record is the accepted inventory of an ApplyInventory, or the one that it lost to; it carries no document.
	Record *protocol.InventoryRecord `cbor:"3,keyasint,omitempty"`
	// Configuration is the configuration that holds after a SetGroup.
	Configuration *group.Configuration `cbor:"4,keyasint,omitempty"`
}
