package load_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/load"
)

func TestClassifyReportsWhetherRequestMayHaveRun(t *testing.T) {
	pgError := func(code string) error { return fmt.Errorf("exec: %w", &pgconn.PgError{Severity: "ERROR", Code: code}) }
	for _, test := range []struct {
		err  error
		want history.Outcome
	}{
		{nil, history.OutcomeOK},
		{pgError("LW001"), history.OutcomeNotRun},
		{pgError("LW002"), history.OutcomeUnknown},
		{pgError("LW003"), history.OutcomeQuotaExceeded},
		{pgError("LW004"), history.OutcomeKeyRefused},
		{pgError("LW005"), history.OutcomeNoPrimary},
		{pgError("57P01"), history.OutcomeEntryStopping},
		{pgError("57014"), history.OutcomeUnknown},
		{pgError("55P03"), history.OutcomeFailed},
		{errors.New("unexpected EOF"), history.OutcomeUnknown},
		{errors.New("failed to deallocate cached statement(s): conn closed"), history.OutcomeUnreached},
	} {
		if got, _, _ := load.Classify(test.err); got != test.want {
			t.Errorf("%v: got %s, want %s", test.err, got, test.want)
		}
	}
}
