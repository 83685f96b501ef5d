package monitor

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/instance/dialer"
)

const closeTimeout = 100 * time.Millisecond

// serverParameter is the status parameter in which a database may report its name, which detects reused addresses.
const serverParameter = "lentilwind.server"

// dial opens a monitoring connection.
func dial(ctx context.Context, source netip.Addr, target Target) (*pgconn.PgConn, error) {
	address, err := netip.ParseAddrPort(target.Address)
	if err != nil {
		return nil, fmt.Errorf("address of %s: %w", target.ID.Server, err)
	}
	conn, err := dialer.ConnectMonitor(ctx, source, target.ID.Service, address)
	if err != nil {
		return nil, err
	}
	if name := conn.ParameterStatus(serverParameter); name != "" && name != string(target.ID.Server) {
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
