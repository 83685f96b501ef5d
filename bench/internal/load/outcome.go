package load

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/history"
)

// The SQLSTATE codes of errors that an entry returns.
const (
	codeNotRun          = "LW001"
	codeUnknown         = "LW002"
	codeQuotaExceeded   = "LW003"
	codeKeyRefused      = "LW004"
	codeNoPrimary       = "LW005"
	codeInvalidPassword = "28P01"
	codeAdminShutdown   = "57P01"
)

var outcomeByCode = map[string]history.Outcome{
	codeNotRun:          history.OutcomeNotRun,
	codeUnknown:         history.OutcomeUnknown,
	codeQuotaExceeded:   history.OutcomeQuotaExceeded,
	codeKeyRefused:      history.OutcomeKeyRefused,
	codeInvalidPassword: history.OutcomeKeyRefused,
	codeNoPrimary:       history.OutcomeNoPrimary,
	codeAdminShutdown:   history.OutcomeEntryStopping,
}

// deallocateErrorPrefix is the prefix of the error that pgx returns when it cannot deallocate cached statements before a request.
// The request has not been sent then.
const deallocateErrorPrefix = "failed to deallocate cached statement(s): "

// classify returns the outcome of a request on an established connection.
func classify(err error) (outcome history.Outcome, code, message string) {
	if err == nil {
		return history.OutcomeOK, "", ""
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return classifyCode(pgErr), pgErr.Code, pgErr.Message
	}
	if pgconn.SafeToRetry(err) || strings.HasPrefix(err.Error(), deallocateErrorPrefix) {
		return history.OutcomeUnreached, "", err.Error()
	}
	if errors.Is(err, pgx.ErrTxCommitRollback) {
		return history.OutcomeFailed, "", err.Error()
	}
	return history.OutcomeUnknown, "", err.Error()
}

func classifyCode(pgErr *pgconn.PgError) history.Outcome {
	if outcome, known := outcomeByCode[pgErr.Code]; known {
		return outcome
	}
	// The connection was closed during the request, so the request may or may not have run.
	if pgErr.Severity == "FATAL" || strings.HasPrefix(pgErr.Code, "57") || strings.HasPrefix(pgErr.Code, "08") {
		return history.OutcomeUnknown
	}
	return history.OutcomeFailed
}

// classifyConnect returns the outcome of a request for which no connection could be established. It cannot have run, so
// outcomes that leave this open become OutcomeUnreached.
func classifyConnect(err error) (outcome history.Outcome, code, message string) {
	outcome, code, message = classify(err)
	switch outcome {
	case history.OutcomeUnknown, history.OutcomeFailed, history.OutcomeEntryStopping, history.OutcomeOK:
		outcome = history.OutcomeUnreached
	}
	return outcome, code, message
}
