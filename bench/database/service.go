package database

import (
	"errors"
	"fmt"
	"net"

	"lentilwind.dev/lentilwind/group"
)

// Service holds the running servers of one service.
type Service []*Server

// StartService starts a server for each name on free loopback ports; the primary of slot i is server i, modulo their number.
func StartService(base Config, names ...group.Server) (Service, error) {
	base.ApplyDefaults()
	base.Peers = make(map[group.Server]string)
	base.Primaries = nil
	for i := range base.Slots {
		base.Primaries = append(base.Primaries, names[i%len(names)])
	}
	var listeners []net.Listener
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("database: %w", err)
		}
		listeners = append(listeners, listener)
		base.Peers[name] = listener.Addr().String()
	}
	var service Service
	for i, name := range names {
		cfg := base
		cfg.Server, cfg.Listen, cfg.listener = name, base.Peers[name], listeners[i]
		server, err := Start(cfg)
		if err != nil {
			return nil, errors.Join(err, service.Close())
		}
		service = append(service, server)
	}
	return service, nil
}

// Close closes every server.
func (s Service) Close() error {
	var err error
	for _, server := range s {
		err = errors.Join(err, server.Close())
	}
	return err
}
