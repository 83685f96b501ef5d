package outcome

import (
	"errors"
	"fmt"
)

// SQLState is a five-character SQLSTATE code.
type SQLState string

// SQLSTATEs defined by the entry.
const (
	// NotRun means that no part of the request took effect. It is safe to retry.
	NotRun SQLState = "LW001"
	// Unknown means that the request was sent but no valid answer arrived. It may have been run.
	Unknown SQLState = "LW002"
	// QuotaExceeded means that the workspace has used up its rate and burst. The request was not run.
	QuotaExceeded SQLState = "LW003"
	// KeyWithdrawn means that the connection's key is no longer granted. The request was not run.
	KeyWithdrawn SQLState = "LW004"
	// NoPrimary means that the group has no reachable primary. The request was not run.
	NoPrimary SQLState = "LW005"
)

// Standard SQLSTATEs that the entry reports itself.
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

// Failure is the outcome of a request that no database answered.
type Failure struct {
	SQLState SQLState
	Message  string
	// Hint tells the caller how to proceed.
	Hint string
	// Reason labels the failure in metrics.
	Reason Reason
	// Cause is logged and never sent to the caller.
	Cause error
}

// Error formats the failure for logs.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("outcome: %s: %s", f.SQLState, f.Message)
	}
	return fmt.Sprintf("outcome: %s: %s: %v", f.SQLState, f.Message, f.Cause)
}

func (f *Failure) Unwrap() error { return f.Cause }

// FromError returns the *Failure in an error's chain. An error without one is an unknown outcome.
func FromError(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return ForReason(ReasonAnswerLost, err)
}
