package relay

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/entry/internal/outcome"
)

// DatabaseError is an error reported by a database.
type DatabaseError struct {
	SQLState outcome.SQLState
	Message  string
}

func (e *DatabaseError) Error() string { return string(e.SQLState) + ": " + e.Message }

// DecodeError decodes the body of an ErrorResponse into a *DatabaseError.
func DecodeError(body []byte) error {
	var response pgproto3.ErrorResponse
	if err := response.Decode(body); err != nil {
		return err
	}
	return &DatabaseError{SQLState: outcome.SQLState(response.Code), Message: response.Message}
}

// ErrorSQLState returns the SQLSTATE of an ErrorResponse body, or an empty one if it is missing.
func ErrorSQLState(body []byte) outcome.SQLState {
	for len(body) > 1 {
		field := body[0]
		value, rest, err := CutString(body[1:])
		if err != nil {
			return ""
		}
		if field == 'C' {
			return outcome.SQLState(value)
		}
		body = rest
	}
	return ""
}

// AppendFailure appends a failure as an ErrorResponse.
func AppendFailure(dst []byte, severity string, f *outcome.Failure) []byte {
	response := pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: string(f.SQLState), Message: f.Message, Hint: f.Hint,
	}
	out, err := response.Encode(dst)
	if err != nil {
		return dst
	}
	return out
}
