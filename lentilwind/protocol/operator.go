package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// OperationID names one operator's change, so that a resend gets the first answer again.
type OperationID string

// ApplyInventory asks control to accept a document; it is the body of POST /v1/inventory.
type ApplyInventory struct {
	Operation OperationID `json:"operation" cbor:"1,keyasint"`
	// Base is the revision that the document was written against; 0 when there is none yet.
	Base inventory.Revision `json:"base" cbor:"2,keyasint"`
	// Document is the text with its comments.
	Document string `json:"document" cbor:"3,keyasint"`
}

// InventoryRecord is one accepted inventory.
type InventoryRecord struct {
	Revision  inventory.Revision `json:"revision" cbor:"1,keyasint"`
	Operation OperationID        `json:"operation" cbor:"2,keyasint"`
	Operator  string             `json:"operator" cbor:"3,keyasint"`
	Accepted  time.Time          `json:"accepted" cbor:"4,keyasint"`
	// Document is left out of histories.
	Document string `json:"document,omitempty" cbor:"5,keyasint,omitempty"`
}

// InForce answers GET /v1/inventory/in-force.
type InForce struct {
	Revision inventory.Revision `json:"revision"`
	InForce  bool               `json:"inForce"`
	// WaitingFor lists entries that hold a lease on an older revision.
	WaitingFor []inventory.InstanceName `json:"waitingFor,omitempty"`
}

// ErrorCode says why an operator's request failed.
type ErrorCode string

// The codes of operators' errors.
const (
	ErrorConflict    ErrorCode = "conflict"
	ErrorRefused     ErrorCode = "refused"
	ErrorNotLeader   ErrorCode = "notLeader"
	ErrorNotFound    ErrorCode = "notFound"
	ErrorUnavailable ErrorCode = "unavailable"
	ErrorInvalid     ErrorCode = "invalid"
)

// OperatorError is the body of every answer of the operators' interface that is no success.
type OperatorError struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Problems lists the faults of a refused document.
	Problems []jsonc.Problem `json:"problems,omitempty"`
	// Winner is the accepted inventory that a conflicting one lost to.
	Winner *InventoryRecord `json:"winner,omitempty"`
	// Leader is the operators' address of the leader, as IP and port.
	Leader string `json:"leader,omitempty"`
}

// Error formats the error for a log.
func (e *OperatorError) Error() string { return string(e.Code) + ": " + e.Message }

// MemberRole tells what a control process does in the journal.
type MemberRole string

// The roles of control processes.
const (
	MemberLeader   MemberRole = "leader"
	MemberFollower MemberRole = "follower"
	MemberLearner  MemberRole = "learner"
)

// MemberState is one control process as the leader sees it.
type MemberState struct {
	Name    inventory.InstanceName `json:"name"`
	Address string                 `json:"address"`
	Role    MemberRole             `json:"role"`
	// Matched is the last journal index known to be durable there.
	Matched uint64 `json:"matched"`
	// SilentMs is the time since the last answer.
	SilentMs int64 `json:"silentMs"`
}

// EntryLease is one entry as the leader sees it.
type EntryLease struct {
	EntryState
	Applied inventory.Revision `json:"applied"`
	// LeaseMs is the rest of its configuration lease.
	LeaseMs int64 `json:"leaseMs"`
}

// FleetStatus answers GET /v1/status.
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
