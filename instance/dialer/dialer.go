package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/lentilwind/group"
)

// monitorUser opens connections that do not count against a server's limit.
const monitorUser = "lentilwind-monitor"

// NewDialer returns a dialer whose connections leave from an address; the zero address leaves the choice to the system.
func NewDialer(source netip.Addr) net.Dialer {
	if !source.IsValid() || source.IsUnspecified() {
		return net.Dialer{}
	}
	return net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
}

// ConnectMonitor opens a monitoring connection to a database.
func ConnectMonitor(ctx context.Context, source netip.Addr, service group.Service, address netip.AddrPort) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("dialer: %w", err)
	}
	dialer := NewDialer(source)
	cfg.Host = address.Addr().String()
	cfg.Port = address.Port()
	cfg.User = monitorUser
	cfg.Password = ""
	cfg.Database = string(service)
	cfg.TLSConfig = nil
	cfg.Fallbacks = nil
	cfg.RuntimeParams = map[string]string{}
	cfg.ConnectTimeout = 0
	cfg.DialFunc = dialer.DialContext
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("dialer: %w", err)
	}
	return conn, nil
}
