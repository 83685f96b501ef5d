package load

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/history"
)

// The SQLSTATEs that an entry gives.
const (
	codeNotRun    = "LW001"
	codeUnknown   = "LW002"
	codeQuota     = "LW003"
	codeKey       = "LW004"
	codeNoPrimary = "LW005"
	codePassword  = "28P01"
	codeStopping  = "57P01"
)

var codeOutcomes = map[string]history.Outcome{
	codeNotRun:    history.OutcomeNotRun,
	codeUnknown:   history.OutcomeUnknown,
	codeQuota:     history.OutcomeQuotaExceeded,
	codeKey:       history.OutcomeKeyRefused,
	codePassword:  history.OutcomeKeyRefused,
	codeNoPrimary: history.OutcomeNoPrimary,
	codeStopping:  history.OutcomeEntryStopping,
}

// deallocateFailure begins the driver's error when it could not tidy up before a request, which it then did not send.
const deallocateFailure = "failed to deallocate cached statement(s): "

// classify returns the outcome of a request that was sent on an open connection.
func classify(err error) (outcome history.Outcome, code, message string) {
	if err == nil {
		return history.OutcomeOK, "", ""
	}
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return classifyCode(refused), refused.Code, refused.Message
	}
	if pgconn.SafeToRetry(err) || strings.HasPrefix(err.Error(), deallocateFailure) {
		return history.OutcomeUnreached, "", err.Error()
	}
	if errors.Is(err, pgx.ErrTxCommitRollback) {
		return history.OutcomeFailed, "", err.Error()
	}
	return history.OutcomeUnknown, "", err.Error()
}

func classifyCode(refused *pgconn.PgError) history.Outcome {
	if outcome, known := codeOutcomes[refused.Code]; known {
		return outcome
	}
	// A connection that ends in the middle of a request leaves its outcome open.
	if refused.Severity == "FATAL" || strings.HasPrefix(refused.Code, "57") || strings.HasPrefix(refused.Code, "08") {
		return history.OutcomeUnknown
	}
	return history.OutcomeFailed
}

// classifyConnect returns the outcome of a request that got no connection.
func classifyConnect(err error) (outcome history.Outcome, code, message string) {
	outcome, code, message = classify(err)
	switch outcome {
	case history.OutcomeUnknown, history.OutcomeFailed, history.OutcomeEntryStopping, history.OutcomeOK:
		outcome = history.OutcomeUnreached
	}
	return outcome, code, message
}
