package outcome

import (
	"errors"
	"fmt"
)

// State is an SQLSTATE of an entry.
type State string

// The SQLSTATEs of an entry.
const (
	// NotRun means that no part of the request took effect; it is safe to send again.
	NotRun State = "LW001"
	// Unknown means that the request was sent and that no valid answer came; it may have been run.
	Unknown State = "LW002"
	// Quota means that the workspace has used up its rate and burst; the request was not run.
	Quota State = "LW003"
	// KeyWithdrawn means that the key of the connection is no longer granted; the request was not run.
	KeyWithdrawn State = "LW004"
	// NoPrimary means that the group has no primary that can be reached; the request was not run.
	NoPrimary State = "LW005"
)

// The SQLSTATEs of PostgreSQL that an entry uses itself.
const (
	ProtocolViolation  State = "08P01"
	WrongPassword      State = "28P01"
	WrongAuthorization State = "28000"
	UnknownDatabase    State = "3D000"
	InvalidParameter   State = "22023"
	UnknownStatement   State = "26000"
	FailedTransaction  State = "25P02"
	NotSupported       State = "0A000"
	TooManyConnections State = "53300"
	TooLarge           State = "54000"
	AdminShutdown      State = "57P01"
	CannotConnectNow   State = "57P03"
)

// Failure is the outcome of a request that was not answered by a database.
type Failure struct {
	State   State
	Message string
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
		return fmt.Sprintf("outcome: %s: %s", f.State, f.Message)
	}
	return fmt.Sprintf("outcome: %s: %s: %v", f.State, f.Message, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Of returns the failure inside an error; an error without one counts as an unknown outcome.
func Of(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return At(ReasonAnswerLost, err)
}
