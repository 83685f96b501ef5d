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

// ApplyInventory makes a document the successor of its base revision.
type ApplyInventory struct {
	Operation protocol.OperationID `cbor:"1,keyasint"`
	Base      inventory.Revision   `cbor:"2,keyasint"`
	Document  string               `cbor:"3,keyasint"`
	Operator  string               `cbor:"4,keyasint"`
	Accepted  time.Time            `cbor:"5,keyasint"`
}

// SetGroup replaces the configuration of one group if its term still is the expected one.
//
// The new term must be higher. The same term is allowed only to name the primary of a term that has none, or to repeat the
// current configuration.
type SetGroup struct {
	ExpectedTerm  group.Term          `cbor:"1,keyasint"`
	Configuration group.Configuration `cbor:"2,keyasint"`
	// Address is the address at which the named primary accepted connections. It lets a later leader probe a primary from which
	// it has received no announcement.
	Address string `cbor:"3,keyasint,omitempty"`
}

// RecordFailure records servers that failed at the same time.
type RecordFailure struct {
	Servers []group.Server `cbor:"1,keyasint"`
	At      time.Time      `cbor:"2,keyasint"`
}

// Outcome is the outcome of a command.
type Outcome string

// The outcomes of commands.
const (
	// OutcomeAccepted means that the state contains the command, from this or an earlier attempt.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that the state is no longer the one that the command expected.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid means that the command can never be accepted.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnreadable means that this build cannot read a document that another build has accepted; the process must stop.
	OutcomeUnreadable Outcome = "unreadable"
)

// Result is the result of a command; it is the same on every replica.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Message explains an outcome other than OutcomeAccepted.
	Message string `cbor:"2,keyasint,omitempty"`
	// Record is the accepted inventory of an ApplyInventory, or the conflicting one that was accepted instead; its document is
	// empty.
	Record *protocol.InventoryRecord `cbor:"3,keyasint,omitempty"`
	// Configuration is the group's configuration after a SetGroup.
	Configuration *group.Configuration `cbor:"4,keyasint,omitempty"`
}
