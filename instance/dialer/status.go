package dialer

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/lentilwind/group"
)

// StatusQuery asks a database for the status of each of its members.
const StatusQuery = "SELECT * FROM lentilwind_status()"

const (
	statusColumns = 7
	roleColumn    = 1
)

// QueryStatuses runs a statement that returns one status per row on a monitoring connection.
func QueryStatuses(ctx context.Context, conn *pgconn.PgConn, sql string) ([]group.Status, error) {
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("dialer: %w", err)
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("dialer: got %d results for one statement", len(results))
	}
	statuses := make([]group.Status, 0, len(results[0].Rows))
	for _, row := range results[0].Rows {
		status, err := parseRow(row)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// parseRow parses the columns slot, role, term, fenced, received, applied and ageMs.
func parseRow(row [][]byte) (group.Status, error) {
	if len(row) != statusColumns {
		return group.Status{}, fmt.Errorf("dialer: status row has %d columns", len(row))
	}
	role := group.Role(row[roleColumn])
	if role != group.RolePrimary && role != group.RoleReplica {
		return group.Status{}, fmt.Errorf("dialer: status row has unknown role %q", role)
	}
	var numbers [statusColumns]uint64
	for i, column := range row {
		if i == roleColumn {
			continue
		}
		number, err := strconv.ParseUint(string(column), 10, 64)
		if err != nil {
			return group.Status{}, fmt.Errorf("dialer: parse column %d of status row: %w", i, err)
		}
		numbers[i] = number
	}
	return group.Status{
		Slot:       group.Slot(numbers[0]),
		Role:       role,
		Term:       group.Term(numbers[2]),
		FencedTerm: group.Term(numbers[3]),
		Received:   group.Position(numbers[4]),
		Applied:    group.Position(numbers[5]),
		Lag:        time.Duration(numbers[6]) * time.Millisecond,
	}, nil
}
