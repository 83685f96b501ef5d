package failure

import (
	"errors"
	"fmt"

	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
)

// Code is an exit code of lentilctl.
type Code int

// The exit codes.
const (
	CodeSuccess     Code = 0
	CodeFailure     Code = 1
	CodeUsage       Code = 2
	CodeRefused     Code = 3
	CodeConflict    Code = 4
	CodeUnavailable Code = 5
	CodeNotInForce  Code = 6
)

// ExitCodeTable describes the exit codes for people.
const ExitCodeTable = `0  success
1  failure: a file, certificate or answer could not be used
2  usage: wrong flags or arguments
3  refused: the document or request has faults, which are listed
4  conflict: another change was accepted first; the winner is shown
5  unavailable: no control leader could be reached, or the outcome is unknown
6  not in force: accepted, but not yet in force everywhere when the wait ended
`

// Error is an error with its exit code.
type Error struct {
	Code Code
	Err  error
}

// Error formats the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Usagef returns an error about wrong flags or arguments.
func Usagef(format string, args ...any) error {
	return &Error{Code: CodeUsage, Err: fmt.Errorf(format, args...)}
}

// CodeOf returns the exit code of an error.
func CodeOf(err error) Code {
	var coded *Error
	var operator *protocol.OperatorError
	var refused *jsonc.Error
	switch {
	case err == nil:
		return CodeSuccess
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &operator):
		return codeOfOperatorError(operator.Code)
	case errors.As(err, &refused):
		return CodeRefused
	default:
		return CodeFailure
	}
}

func codeOfOperatorError(code protocol.ErrorCode) Code {
	switch code {
	case protocol.ErrorConflict:
		return CodeConflict
	case protocol.ErrorRefused, protocol.ErrorInvalid, protocol.ErrorNotFound:
		return CodeRefused
	case protocol.ErrorNotLeader, protocol.ErrorUnavailable:
		return CodeUnavailable
	default:
		return CodeFailure
	}
}
