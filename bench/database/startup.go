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

// The users that may connect to a server.
const (
	UserSystem  = "lentilwind"
	UserMonitor = "lentilwind-monitor"
	// UserReader has read access only and does not count towards the connection limit; test programs read results with it.
	UserReader      = "lentilwind-reader"
	userReplication = "lentilwind-replication"
)

// maxMonitors limits the monitoring connections, which do not count towards Config.Connections.
const maxMonitors = 16

const secretBytes = 4

// serve handles one connection until it ends.
func (r *serverRun) serve(c *conn, id uint64) {
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
			r.handleCancelRequest(m)
			return
		case *pgproto3.StartupMessage:
			r.startSession(c, id, backend, m)
			return
		}
	}
}

const maxMessageBytes = 16 << 20

// handleCancelRequest cancels the running statement of the session that the request names.
func (r *serverRun) handleCancelRequest(m *pgproto3.CancelRequest) {
	value, ok := r.sessions.Load(m.ProcessID)
	if !ok {
		return
	}
	s := value.(*session)
	if subtle.ConstantTimeCompare(s.secretKey, m.SecretKey) == 1 {
		s.cancelStatement()
	}
}

func (r *serverRun) startSession(c *conn, id uint64, backend *pgproto3.Backend, m *pgproto3.StartupMessage) {
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
		r.server.observations.add(observed)
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: code, Message: message})
		_ = backend.Flush()
		return
	}
	defer r.releaseConnection(user)
	r.server.observations.add(observed)
	if !r.delay(cfg.ConnectTime.Std()) {
		return
	}
	s := newSession(r, c, id, backend, user)
	r.sessions.Store(s.processID, s)
	defer r.sessions.Delete(s.processID)
	s.sendStartupMessages()
	s.serve()
}

// delay waits; it returns false if the server stops first.
func (r *serverRun) delay(d time.Duration) bool {
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

// admit counts a connection or returns the error with which it is refused.
func (r *serverRun) admit(user, database string) (code, message string) {
	counter, limit := &r.clientConns, int64(r.server.cfg.Connections)
	switch user {
	case UserMonitor:
		counter, limit = &r.monitorConns, maxMonitors
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

func (r *serverRun) releaseConnection(user string) {
	switch user {
	case UserMonitor:
		r.monitorConns.Add(-1)
	case UserSystem:
		r.clientConns.Add(-1)
	}
}

var startupParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// serverParameter is the parameter that reports the server's name.
const serverParameter = "lentilwind.server"

func (s *session) sendStartupMessages() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for i := range startupParameters {
		s.backend.Send(&startupParameters[i])
	}
	s.backend.Send(&pgproto3.ParameterStatus{Name: serverParameter, Value: string(s.run.server.cfg.Server)})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secretKey})
	s.sendReady()
}

func randomBytes(n int) []byte {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return data
}

func randomProcessID() uint32 { return binary.BigEndian.Uint32(randomBytes(4)) & 0x7fffffff }
