package outcome

import (
	"errors"
	"fmt"
)

// SQLState is an SQLSTATE of an entry.
type SQLState string

// The SQLSTATEs of an entry.
const (
	// NotRun means that no part of the request took effect; it is safe to send again.
	NotRun SQLState = "LW001"
	// Unknown means that the request was sent and that no valid answer came; it may have been run.
	Unknown SQLState = "LW002"
	// QuotaExceeded means that the workspace has used up its rate and burst; the request was not run.
	QuotaExceeded SQLState = "LW003"
	// KeyWithdrawn means that the key of the connection is no longer granted; the request was not run.
	KeyWithdrawn SQLState = "LW004"
	// NoPrimary means that the group has no primary that can be reached; the request was not run.
	NoPrimary SQLState = "LW005"
)

// The SQLSTATEs of PostgreSQL that an entry uses itself.
const (
	ProtocolViolation  SQLState = "08P01"
	WrongPassword      SQLState = "28P01"
	WrongAuthorization SQLState = "28000"
	UnknownDatabase    SQLState = "3D000"
	InvalidParameter   SQLState = "22023"
	UnknownStatement   SQLState = "26000"
	FailedTransaction  SQLState = "25P02"
	NotSupported       SQLState = "0A000"
	TooManyConnections SQLState = "53300"
	TooLarge           SQLState = "54000"
	AdminShutdown      SQLState = "57P01"
	CannotConnectNow   SQLState = "57P03"
)

// Failure is the outcome of a request that was not answered by a database.
type Failure struct {
	SQLState SQLState
	Message  string
	// Hint tells a caller what to do.
	Hint string
	// Reason is the short name under which metrics count the failure.
	Reason Reason
	// Cause is for the log; it is never sent to a caller.
	Cause error
}

// Error formats the failure for a log.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("outcome: %s: %s", f.SQLState, f.Message)
	}
	return fmt.Sprintf("outcome: %s: %s: %v", f.SQLState, f.Message, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// FromError returns the failure inside an error; an error without one counts as an unknown outcome.
func FromError(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return ForReason(ReasonAnswerLost, err)
}
