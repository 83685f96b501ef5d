package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/lentilwind/group"
)

// monitorUser is the database user whose connections do not count against a server's connection limit.
const monitorUser = "lentilwind-monitor"

// NewDialer returns a dialer that uses source as the local address; with the zero address the system chooses one.
func NewDialer(source netip.Addr) net.Dialer {
	if !source.IsValid() || source.IsUnspecified() {
		return net.Dialer{}
	}
	return net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
}

// ConnectMonitor opens a monitoring connection from source to a database.
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
