package positions

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/lentilwind/group"
)

// statusColumns is the number of columns of a status row.
const statusColumns = 7

func statusQuery() string { return "SELECT * FROM lentilwind_status()" }

func waitQuery(slot group.Slot, position group.Position, limit time.Duration) string {
	return fmt.Sprintf("SELECT * FROM lentilwind_wait(%d, %d, %d)", slot, position, limit.Milliseconds())
}

func ask(ctx context.Context, conn *pgconn.PgConn, sql string) ([]group.Status, error) {
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("positions: %w", err)
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("positions: %d results to one query", len(results))
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

func parseRow(row [][]byte) (group.Status, error) {
	if len(row) != statusColumns {
		return group.Status{}, fmt.Errorf("positions: status row of %d columns", len(row))
	}
	var numbers [statusColumns]uint64
	for i, column := range row {
		if i == 1 {
			continue
		}
		number, err := strconv.ParseUint(string(column), 10, 64)
		if err != nil {
			return group.Status{}, fmt.Errorf("positions: status column %d: %w", i, err)
		}
		numbers[i] = number
	}
	role := group.Role(row[1])
	if role != group.RolePrimary && role != group.RoleReplica {
		return group.Status{}, fmt.Errorf("positions: status with unknown role %q", role)
	}
	return group.Status{
		Slot:     group.Slot(numbers[0]),
		Role:     role,
		Term:     group.Term(numbers[2]),
		Fenced:   group.Term(numbers[3]),
		Received: group.Position(numbers[4]),
		Applied:  group.Position(numbers[5]),
		Age:      time.Duration(numbers[6]) * time.Millisecond,
	}, nil
}
