package executor

import (
	"context"
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// Executor opens transactions.
type Executor interface {
	// Open waits for a connection; its errors are *outcome.Failure and mean that nothing was sent.
	//
	// The wait is bounded by the opening's QueueFor; the context only ends it early.
	Open(ctx context.Context, opening *protocol.Forward) (Transaction, error)
}

// Transaction is one transaction on one connection; one goroutine uses it, save for Cancel.
type Transaction interface {
	// Send sends a batch whole. For the first one it checks the connection's scope and a read's floor as well.
	Send(batch []byte) error
	// Next appends the next part of the answer to dst.
	Next(dst []byte) ([]byte, AnswerPart, error)
	// LastStatus returns the newest status that the server reported, and when what it answers was sent.
	LastStatus() ReportedStatus
	// Cancel asks the database to end the running statement; any goroutine may call it.
	Cancel()
	// Close gives the connection back; one that still owes an answer or has an open block is closed.
	Close()
}

// ReportedStatus is a status of the server's member of the group.
type ReportedStatus struct {
	Status group.Status
	// SentAt is zero while no status is known.
	SentAt time.Time
}

// AnswerPart describes a part of an answer.
type AnswerPart struct {
	// Kind is 0 for a further part of a long message.
	Kind relay.Kind
	// Done tells that nothing more will come before the next batch.
	Done bool
	// SQLState is the SQLSTATE of an error.
	SQLState outcome.SQLState
	// TxStatus is the state of the transaction block in a ReadyForQuery.
	TxStatus byte
	// More tells that the message goes on in the next part.
	More bool
	// Committed, RolledBack and Wrote tell what a CommandComplete reports.
	Committed, RolledBack, Wrote bool
}

// States of a transaction block.
const (
	TxStatusIdle    byte = 'I'
	TxStatusInBlock byte = 'T'
	TxStatusFailed  byte = 'E'
)

// Sent tells whether an error came after the first byte of a batch had been sent.
func Sent(err error) bool {
	return !outcome.IsNotRun(outcome.FromError(err).Reason)
}
