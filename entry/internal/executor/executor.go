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
	// Open waits for a connection. Its errors are *outcome.Failure and mean that nothing was sent to the database.
	//
	// The wait is bounded by opening.QueueTimeout; ctx can only end it earlier.
	Open(ctx context.Context, opening *protocol.Forward) (Transaction, error)
}

// Transaction is one transaction on one connection. Only Cancel may be called concurrently with other methods.
type Transaction interface {
	// Send sends a complete batch. Before the first batch it also sets the connection's scope and, for a read, checks that the
	// server is fresh enough.
	Send(batch []byte) error
	// Next appends the next part of the answer to dst.
	Next(dst []byte) ([]byte, AnswerPart, error)
	// LastStatus returns the newest status that the server reported.
	LastStatus() ReportedStatus
	// Cancel asks the database to cancel the running statement.
	Cancel()
	// Close returns the connection to its pool, or closes it if an answer is outstanding or a transaction block is open.
	Close()
}

// ReportedStatus is the status of the server's member of the group.
type ReportedStatus struct {
	Status group.Status
	// SentAt is when the message was sent that the status answers; zero while no status is known.
	SentAt time.Time
}

// AnswerPart describes a part of an answer.
type AnswerPart struct {
	// Kind is 0 for a continuation of a long message.
	Kind relay.Kind
	// Done reports that the answer to the batch is complete.
	Done bool
	// SQLState is the code of an ErrorResponse.
	SQLState outcome.SQLState
	// TxStatus is the transaction status of a ReadyForQuery.
	TxStatus byte
	// More reports that the message continues in the next part.
	More bool
	// Committed, RolledBack and Wrote are derived from the tag of a CommandComplete.
	Committed, RolledBack, Wrote bool
}

// Transaction status indicators of ReadyForQuery.
const (
	TxStatusIdle    byte = 'I'
	TxStatusInBlock byte = 'T'
	TxStatusFailed  byte = 'E'
)

// Sent reports whether an error occurred after the first byte of a batch was sent.
func Sent(err error) bool {
	return !outcome.IsNotRun(outcome.FromError(err).Reason)
}
