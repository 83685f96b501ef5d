package database

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/history"
)

// The users that a server knows.
const (
	UserSystem  = "lentilwind"
	UserMonitor = "lentilwind-monitor"
	// UserReader reads like UserSystem, writes nothing and does not count; test programs look at results with it.
	UserReader      = "lentilwind-reader"
	userReplication = "lentilwind-replication"
)

// maxMonitors bounds the connections that do not count against the limit.
const maxMonitors = 16

const secretBytes = 4

// serve answers one connection until it ends.
func (r *run) serve(c *conn, id uint64) {
	backend := pgproto3.NewBackend(c, c)
	backend.SetMaxBodyLen(maxMessageBytes)
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			r.cancelStatement(m)
			return
		case *pgproto3.StartupMessage:
			r.connect(c, id, backend, m)
			return
		}
	}
}

const maxMessageBytes = 16 << 20

func (r *run) cancelStatement(m *pgproto3.CancelRequest) {
	found, ok := r.sessions.Load(m.ProcessID)
	if !ok {
		return
	}
	s := found.(*session)
	if subtle.ConstantTimeCompare(s.secret, m.SecretKey) == 1 {
		s.cancelRunning()
	}
}

func (r *run) connect(c *conn, id uint64, backend *pgproto3.Backend, m *pgproto3.StartupMessage) {
	user := m.Parameters["user"]
	cfg := &r.server.cfg
	observed := history.DatabaseEvent{
		Service: cfg.Service, Server: cfg.Server, Kind: history.DatabaseConnected,
		Connection: id, User: user, Parameters: m.Parameters,
	}
	if user == userReplication {
		r.serveReplica(c, backend)
		return
	}
	code, message := r.admit(user, m.Parameters["database"])
	if code != "" {
		observed.Kind, observed.Code = history.DatabaseRefused, code
		r.server.record.add(observed)
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: code, Message: message})
		_ = backend.Flush()
		return
	}
	defer r.leave(user)
	r.server.record.add(observed)
	if !r.pause(cfg.ConnectTime.Std()) {
		return
	}
	s := newSession(r, c, id, backend, user)
	r.sessions.Store(s.process, s)
	defer r.sessions.Delete(s.process)
	s.greet()
	s.serve()
}

// pause waits unless the server stops before.
func (r *run) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// admit counts a connection in or returns the reason against it.
func (r *run) admit(user, database string) (code, message string) {
	counter, limit := &r.counted, int64(r.server.cfg.Connections)
	switch user {
	case UserMonitor:
		counter, limit = &r.monitors, maxMonitors
	case UserReader:
		counter, limit = new(atomic.Int64), 1
	}
	switch {
	case user != UserSystem && user != UserMonitor && user != UserReader:
		return "28000", "role does not exist"
	case database != string(r.server.cfg.Service):
		return "3D000", "database does not exist"
	case r.server.faults.get().RefuseConnections:
		return "57P03", "the database system is not accepting connections"
	case counter.Add(1) > limit:
		counter.Add(-1)
		return "53300", "sorry, too many clients already"
	}
	return "", ""
}

func (r *run) leave(user string) {
	switch user {
	case UserMonitor:
		r.monitors.Add(-1)
	case UserSystem:
		r.counted.Add(-1)
	}
}

var greeting = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// parameterServer tells which server answers at an address.
const parameterServer = "lentilwind.server"

func (s *session) greet() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for i := range greeting {
		s.backend.Send(&greeting[i])
	}
	s.backend.Send(&pgproto3.ParameterStatus{Name: parameterServer, Value: string(s.run.server.cfg.Server)})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret})
	s.ready()
}

func randomBytes(n int) []byte {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return data
}

func randomProcess() uint32 { return binary.BigEndian.Uint32(randomBytes(4)) & 0x7fffffff }
