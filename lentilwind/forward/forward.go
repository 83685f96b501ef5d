package forward

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/statement"
)

// KindWork is a Work, answered with a Result.
const KindWork protocol.Kind = "work"

// PreparedStatement is what a prepared statement runs.
type PreparedStatement struct {
	ReadOnly bool   `cbor:"1,keyasint,omitempty"`
	Text     string `cbor:"2,keyasint"`
}

// Work is a sequence of statements for one connection to a database.
type Work struct {
	Service   group.Service           `cbor:"1,keyasint"`
	Server    group.Server            `cbor:"2,keyasint"`
	Workspace inventory.WorkspaceName `cbor:"3,keyasint,omitempty"`
	// Values are the session's values, which the connection must carry.
	Values map[string]string `cbor:"4,keyasint,omitempty"`
	// Prepared is what an Execute among the statements runs.
	Prepared *PreparedStatement `cbor:"5,keyasint,omitempty"`
	// Begin opens a transaction first; unless it succeeds, nothing else is run.
	Begin *statement.Statement `cbor:"6,keyasint,omitempty"`
	// Statements run in order; the transaction of a Begin is rolled back after them unless HoldConnection is set.
	Statements []statement.Statement `cbor:"7,keyasint,omitempty"`
	// HoldConnection keeps the connection for further work of the transaction.
	HoldConnection bool `cbor:"8,keyasint,omitempty"`
	// HeldConnection continues on a connection that was kept.
	HeldConnection uint64 `cbor:"9,keyasint,omitempty"`
	// ReleaseHeld gives a kept connection back, and CloseHeld closes it, which rolls back.
	ReleaseHeld bool `cbor:"10,keyasint,omitempty"`
	CloseHeld   bool `cbor:"11,keyasint,omitempty"`
	// Timeout bounds all of it, the wait for a connection included.
	Timeout time.Duration `cbor:"12,keyasint"`
	// Priority orders work that waits for a connection; 0 goes first.
	Priority int `cbor:"13,keyasint,omitempty"`
	// MaxQueueWait bounds the wait for a turn; work that would wait longer is refused at once.
	MaxQueueWait time.Duration `cbor:"14,keyasint"`
}

// Failure tells why work got no answer from the database.
type Failure string

// The failures.
const (
	// NotSent means that no statement of the caller has reached the database.
	NotSent Failure = "notSent"
	// ConnectionLost means that the connection broke before the answer.
	ConnectionLost Failure = "lost"
	// TimedOut means that the answer has not come in time.
	TimedOut Failure = "timedOut"
)

// Result is what became of a Work.
type Result struct {
	// Answers are those of the statements, as many as there were before a failure.
	Answers []statement.Answer `cbor:"1,keyasint,omitempty"`
	// BeginAnswer is the answer to Begin.
	BeginAnswer *statement.Answer `cbor:"2,keyasint,omitempty"`
	// Failure is empty when every statement was answered, or when Begin was refused.
	Failure Failure `cbor:"3,keyasint,omitempty"`
	Detail  string  `cbor:"4,keyasint,omitempty"`
	// HeldConnection names the kept connection, 0 if there is none.
	HeldConnection uint64 `cbor:"5,keyasint,omitempty"`
	// Load is how much work runs or waits for the database at the sender.
	Load int `cbor:"6,keyasint,omitempty"`
}
