package failure

import (
	"errors"
	"fmt"

	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
)

// Code is the exit code of a lentilctl command.
type Code int

// Exit codes.
const (
	CodeSuccess     Code = 0
	CodeFailure     Code = 1
	CodeUsage       Code = 2
	CodeRefused     Code = 3
	CodeConflict    Code = 4
	CodeUnavailable Code = 5
	CodeNotInForce  Code = 6
)

// ExitCodeTable describes the exit codes in the help text.
const ExitCodeTable = `0  success
1  failure: a file, certificate or answer could not be used
2  usage: wrong flags or arguments
3  refused: the document or request has problems, which are listed
4  conflict: another change was accepted first; that change is shown
5  unavailable: no control leader could be reached, or the outcome is unknown
6  not in force: accepted, but not yet in force everywhere when the wait ended
`

// Error is an error with the exit code of the command.
type Error struct {
	Code Code
	Err  error
}

// Error returns the message of the wrapped error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Usagef returns an error about wrong flags or arguments.
func Usagef(format string, args ...any) error {
	return &Error{Code: CodeUsage, Err: fmt.Errorf(format, args...)}
}

// CodeOf returns the exit code for an error, CodeSuccess for nil.
func CodeOf(err error) Code {
	var exitErr *Error
	var operatorErr *protocol.OperatorError
	var invalid *jsonc.Error
	switch {
	case err == nil:
		return CodeSuccess
	case errors.As(err, &exitErr):
		return exitErr.Code
	case errors.As(err, &operatorErr):
		return codeOfOperatorError(operatorErr.Code)
	case errors.As(err, &invalid):
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
