package monitor

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/instance/dialer"
	"lentilwind.dev/lentilwind/group"
)

const closeTimeout = 100 * time.Millisecond

// parameterServer is the status parameter in which a database may tell its name, against reused addresses.
const parameterServer = "lentilwind.server"

// dial opens a monitoring connection.
func dial(ctx context.Context, source netip.Addr, target Target) (*pgconn.PgConn, error) {
	address, err := netip.ParseAddrPort(target.Address)
	if err != nil {
		return nil, fmt.Errorf("address of %s: %w", target.ID.Server, err)
	}
	conn, err := dialer.Monitor(ctx, source, target.ID.Service, address)
	if err != nil {
		return nil, err
	}
	if name := conn.ParameterStatus(parameterServer); name != "" && name != string(target.ID.Server) {
		closeConn(conn)
		return nil, fmt.Errorf("%s answers at the address of %s", name, target.ID.Server)
	}
	return conn, nil
}

func closeConn(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// query runs a statement that answers rows of statuses.
func query(ctx context.Context, conn *pgconn.PgConn, sql string) ([]group.Status, error) {
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("%d results to one statement", len(results))
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

const statusColumns = 7

// parseRow reads slot, role, term, fenced, received, applied and ageMs.
func parseRow(row [][]byte) (group.Status, error) {
	if len(row) != statusColumns {
		return group.Status{}, fmt.Errorf("a status row of %d columns", len(row))
	}
	role := group.Role(row[1])
	if role != group.RolePrimary && role != group.RoleReplica {
		return group.Status{}, fmt.Errorf("a status row with role %q", role)
	}
	var numbers [statusColumns]uint64
	var problems []error
	for _, i := range []int{0, 2, 3, 4, 5, 6} {
		n, err := strconv.ParseUint(string(row[i]), 10, 64)
		numbers[i] = n
		problems = append(problems, err)
	}
	if err := errors.Join(problems...); err != nil {
		return group.Status{}, fmt.Errorf("a status row: %w", err)
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
