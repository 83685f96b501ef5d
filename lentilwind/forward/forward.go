package forward

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/statement"
)

// KindWork is a Work. The reply is a Result.
const KindWork protocol.Kind = "work"

// PreparedStatement is the text of a prepared statement and its access mode.
type PreparedStatement struct {
	ReadOnly bool   `cbor:"1,keyasint,omitempty"`
	Text     string `cbor:"2,keyasint"`
}

// HeldID identifies a held connection; 0 stands for none. IDs of different runs of an entry differ.
type HeldID uint64

// Work is a sequence of statements to run on one connection to a database.
type Work struct {
	Service   group.Service           `cbor:"1,keyasint"`
	Server    group.Server            `cbor:"2,keyasint"`
	Workspace inventory.WorkspaceName `cbor:"3,keyasint,omitempty"`
	// Values holds the session variables, which must be set on the connection.
	Values map[string]string `cbor:"4,keyasint,omitempty"`
	// Prepared is the statement that an Execute among the statements runs.
	Prepared *PreparedStatement `cbor:"5,keyasint,omitempty"`
	// Begin starts a transaction first. Unless it succeeds, no other statement runs.
	Begin *statement.Statement `cbor:"6,keyasint,omitempty"`
	// Statements run in order. The transaction of a Begin is rolled back after them unless HoldConnection is set.
	Statements []statement.Statement `cbor:"7,keyasint,omitempty"`
	// HoldConnection holds the connection for further work of the transaction.
	HoldConnection bool `cbor:"8,keyasint,omitempty"`
	// HeldConnection identifies the held connection to use.
	HeldConnection HeldID `cbor:"9,keyasint,omitempty"`
	// ReleaseHeld returns a held connection to the pool. CloseHeld closes it, which rolls back the transaction.
	ReleaseHeld bool `cbor:"10,keyasint,omitempty"`
	CloseHeld   bool `cbor:"11,keyasint,omitempty"`
	// Timeout bounds the whole work, including the wait for a connection.
	Timeout time.Duration `cbor:"12,keyasint"`
	// Priority orders work that waits for a connection; 0 is served first.
	Priority int `cbor:"13,keyasint,omitempty"`
	// MaxQueueWait bounds the wait for a connection. Work with a longer expected wait is refused at once.
	MaxQueueWait time.Duration `cbor:"14,keyasint"`
}

// Failure is the reason why the database did not answer the work.
type Failure string

// Failures.
const (
	// NotSent means that no statement of the caller has reached the database.
	NotSent Failure = "notSent"
	// ConnectionLost means that the connection was lost before the answer.
	ConnectionLost Failure = "lost"
	// TimedOut means that the answer did not arrive in time.
	TimedOut Failure = "timedOut"
)

// Result is the outcome of a Work.
type Result struct {
	// Answers holds the answers to the statements, up to a failure.
	Answers []statement.Answer `cbor:"1,keyasint,omitempty"`
	// BeginAnswer is the answer to Begin.
	BeginAnswer *statement.Answer `cbor:"2,keyasint,omitempty"`
	// Failure is empty if every statement was answered or if Begin was refused.
	Failure Failure `cbor:"3,keyasint,omitempty"`
	Detail  string  `cbor:"4,keyasint,omitempty"`
	// HeldConnection identifies the held connection; 0 if there is none.
	HeldConnection HeldID `cbor:"5,keyasint,omitempty"`
	// Load is the number of Works that run or wait for the database at the sender.
	Load int `cbor:"6,keyasint,omitempty"`
	// ServiceTime is the mean time that a Work takes on the database at the sender.
	ServiceTime time.Duration `cbor:"7,keyasint,omitempty"`
}
