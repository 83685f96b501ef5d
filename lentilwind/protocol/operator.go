package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// OperationID identifies one operator's change and makes it idempotent: a resend gets the first answer again.
type OperationID string

// ApplyInventory asks control to accept an inventory; it is the body of POST /v1/inventory.
type ApplyInventory struct {
	Operation OperationID `json:"operation" cbor:"1,keyasint"`
	// Base is the revision that the document is based on; 0 if there is none yet.
	Base inventory.Revision `json:"base" cbor:"2,keyasint"`
	// Document is the document's text, including comments.
	Document string `json:"document" cbor:"3,keyasint"`
}

// InventoryRecord is one accepted inventory.
type InventoryRecord struct {
	Revision  inventory.Revision `json:"revision" cbor:"1,keyasint"`
	Operation OperationID        `json:"operation" cbor:"2,keyasint"`
	Operator  string             `json:"operator" cbor:"3,keyasint"`
	Accepted  time.Time          `json:"accepted" cbor:"4,keyasint"`
	// Document is empty in histories.
	Document string `json:"document,omitempty" cbor:"5,keyasint,omitempty"`
}

// InForce is the answer to GET /v1/inventory/in-force.
type InForce struct {
	Revision inventory.Revision `json:"revision"`
	InForce  bool               `json:"inForce"`
	// WaitingFor lists the entries that hold a lease on an older revision.
	WaitingFor []inventory.InstanceName `json:"waitingFor,omitempty"`
}

// ErrorCode is the reason why an operator's request failed.
type ErrorCode string

// Codes of operator errors.
const (
	ErrorConflict    ErrorCode = "conflict"
	ErrorRefused     ErrorCode = "refused"
	ErrorNotLeader   ErrorCode = "notLeader"
	ErrorNotFound    ErrorCode = "notFound"
	ErrorUnavailable ErrorCode = "unavailable"
	ErrorInvalid     ErrorCode = "invalid"
)

// OperatorError is the body of every unsuccessful answer of the operator API.
type OperatorError struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Problems lists the problems of a refused document.
	Problems []jsonc.Problem `json:"problems,omitempty"`
	// Winner is the inventory that was accepted instead of a conflicting one.
	Winner *InventoryRecord `json:"winner,omitempty"`
	// Leader is the address of the leader's operator API, as IP and port.
	Leader string `json:"leader,omitempty"`
}

// Error implements the error interface.
func (e *OperatorError) Error() string { return string(e.Code) + ": " + e.Message }

// MemberRole is the role of a control process in the journal.
type MemberRole string

// The roles of control processes.
const (
	MemberLeader   MemberRole = "leader"
	MemberFollower MemberRole = "follower"
	MemberLearner  MemberRole = "learner"
)

// MemberState is the leader's view of one control process.
type MemberState struct {
	Name    inventory.InstanceName `json:"name"`
	Address string                 `json:"address"`
	Role    MemberRole             `json:"role"`
	// Matched is the last journal index known to be durable on the member.
	Matched uint64 `json:"matched"`
	// SilentMs is the time since the member's last answer.
	SilentMs int64 `json:"silentMs"`
}

// EntryLease is the leader's view of one entry.
type EntryLease struct {
	EntryState
	Applied inventory.Revision `json:"applied"`
	// LeaseMs is the remaining time of the entry's configuration lease.
	LeaseMs int64 `json:"leaseMs"`
}

// FleetStatus is the answer to GET /v1/status.
type FleetStatus struct {
	Leader    inventory.InstanceName `json:"leader"`
	Term      uint64                 `json:"term"`
	Committed uint64                 `json:"committed"`
	Revision  inventory.Revision     `json:"revision"`
	InForce   bool                   `json:"inForce"`
	Members   []MemberState          `json:"members"`
	Entries   []EntryLease           `json:"entries"`
	Servers   []ServerState          `json:"servers"`
	Groups    []group.Configuration  `json:"groups"`
}
