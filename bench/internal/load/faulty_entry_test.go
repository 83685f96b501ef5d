package load_test

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/internal/load"
)

// fault is a consistency or security fault of a test entry.
type fault string

const (
	faultNone            fault = "none"
	faultStaleRead       fault = "stale"
	faultDoubledWrite    fault = "double"
	faultLostWrite       fault = "lose"
	faultMixedWorkspaces fault = "mix"
	faultKeyLeak         fault = "leak"
	faultFalseNotRun     fault = "falseNotRun"
)

// faultyEntry is a test entry that forwards clients to databases with one injected fault. It does no coordination, so each slot
// stays at the database with the same index.
type faultyEntry struct {
	t        *testing.T
	listener net.Listener
	service  database.Service
	fault    fault
	wg       sync.WaitGroup
}

func startFaultyEntry(t *testing.T, service database.Service, f fault) *faultyEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &faultyEntry{t: t, listener: listener, service: service, fault: f}
	e.wg.Go(e.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		e.wg.Wait()
	})
	return e
}

func (e *faultyEntry) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.wg.Go(func() {
			defer func() { _ = c.Close() }()
			e.serve(c)
		})
	}
}

// databaseConn is a connection to a database, with the names of the statements prepared on it.
type databaseConn struct {
	*pgproto3.Frontend
	prepared map[string]bool
}

// clientConn is a client connection.
type clientConn struct {
	entry         *faultyEntry
	backend       *pgproto3.Backend
	workspace     string
	key           string
	queries       map[string]string
	databaseConns map[string]*databaseConn
	// conns are the network connections behind databaseConns.
	conns           []net.Conn
	transactionConn *databaseConn
	// pipeline holds the messages received since the last complete pipeline.
	pipeline []pgproto3.FrontendMessage
	sql      string
}

func (e *faultyEntry) serve(c net.Conn) {
	client := &clientConn{
		entry: e, backend: pgproto3.NewBackend(c, c),
		queries: make(map[string]string), databaseConns: make(map[string]*databaseConn),
	}
	defer func() {
		for _, c := range client.conns {
			_ = c.Close()
		}
	}()
	if !client.handshake() {
		return
	}
	for {
		message, err := client.backend.Receive()
		if err != nil {
			return
		}
		if !client.handleMessage(message) {
			return
		}
	}
}

func (c *clientConn) handshake() bool {
	message, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	c.workspace = message.(*pgproto3.StartupMessage).Parameters["user"]
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	_ = c.backend.Flush()
	_ = c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	answer, err := c.backend.Receive()
	if err != nil {
		return false
	}
	c.key = answer.(*pgproto3.PasswordMessage).Password
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.backend.Flush() == nil
}

// handleMessage collects the messages of a pipeline and forwards them once it is complete. It reports whether to go on.
func (c *clientConn) handleMessage(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Parse:
		c.queries[m.Name] = m.Query
		c.sql = m.Query
		parse := *m
		c.pipeline = append(c.pipeline, &parse)
		return true
	case *pgproto3.Bind:
		c.sql = c.queries[m.PreparedStatement]
		bind := *m
		c.pipeline = append(c.pipeline, &bind)
		return true
	case *pgproto3.Describe:
		describe := *m
		c.pipeline = append(c.pipeline, &describe)
		return true
	case *pgproto3.Execute:
		execute := *m
		c.pipeline = append(c.pipeline, &execute)
		return true
	case *pgproto3.Close:
		delete(c.queries, m.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
		return true
	case *pgproto3.Query:
		c.sql = m.String
		query := *m
		c.pipeline = append(c.pipeline, &query)
	case *pgproto3.Sync:
		if len(c.pipeline) == 0 {
			c.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return true
		}
		c.pipeline = append(c.pipeline, &pgproto3.Sync{})
	}
	defer func() { c.pipeline = nil }()
	return c.sendPipeline()
}

var keyPattern = regexp.MustCompile(`key='([^']*)'`)

// chooseConn returns the database connection for the pipeline. A transaction stays on the connection on which it began.
func (c *clientConn) chooseConn() *databaseConn {
	if c.transactionConn != nil {
		return c.transactionConn
	}
	slot := int(load.SlotOf(keyPattern.FindStringSubmatch(c.sql)[1], len(c.entry.service)))
	server, access := slot, "write"
	if strings.Contains(c.sql, "SELECT") {
		access = "read"
		if c.entry.fault == faultStaleRead {
			server = (slot + 1) % len(c.entry.service)
		}
	}
	workspace := c.workspace
	if c.entry.fault == faultMixedWorkspaces {
		workspace = "stalls"
	}
	name := fmt.Sprint(slot, server, access)
	if c.databaseConns[name] == nil {
		c.databaseConns[name] = c.dial(c.entry.service[server].Address(), workspace, slot, access)
	}
	return c.databaseConns[name]
}

func (c *clientConn) dial(address, workspace string, slot int, access string) *databaseConn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.entry.t.Error(err)
		return nil
	}
	c.conns = append(c.conns, conn)
	f := pgproto3.NewFrontend(conn, conn)
	parameters := map[string]string{"user": database.UserSystem, "database": "inventario-1"}
	if c.entry.fault == faultKeyLeak {
		parameters["application_name"] = c.key
	}
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	_ = f.Flush()
	readUntilReady(f, func(pgproto3.BackendMessage) {})
	f.Send(&pgproto3.Query{String: fmt.Sprintf("SET lentilwind.workspace = '%s'; SET lentilwind.slot = '%d'; "+
		"SET lentilwind.term = '1'; SET lentilwind.access = '%s'", workspace, slot, access)})
	_ = f.Flush()
	readUntilReady(f, func(pgproto3.BackendMessage) {})
	return &databaseConn{Frontend: f, prepared: make(map[string]bool)}
}

// forward sends the pipeline and returns the number of statements that it prepared in addition.
func (c *clientConn) forward(target *databaseConn) int {
	added := 0
	for _, message := range c.pipeline {
		switch m := message.(type) {
		case *pgproto3.Parse:
			target.prepared[m.Name] = true
		case *pgproto3.Bind:
			if !target.prepared[m.PreparedStatement] {
				target.prepared[m.PreparedStatement] = true
				target.Send(&pgproto3.Parse{Name: m.PreparedStatement, Query: c.queries[m.PreparedStatement]})
				added++
			}
		}
		target.Send(message)
	}
	return added
}

// readUntilReady calls onMessage for each message up to ReadyForQuery and returns the transaction status, or 0 on an error.
func readUntilReady(f *pgproto3.Frontend, onMessage func(pgproto3.BackendMessage)) byte {
	for {
		message, err := f.Receive()
		if err != nil {
			return 0
		}
		onMessage(message)
		if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
			return ready.TxStatus
		}
	}
}

func (c *clientConn) sendPipeline() bool {
	target := c.chooseConn()
	if target == nil {
		return false
	}
	runs := 1
	insert := strings.HasPrefix(c.sql, "/*route='restock'") && c.transactionConn == nil && c.hasExecute()
	if insert && c.entry.fault == faultDoubledWrite {
		runs = 2
	}
	if insert && c.entry.fault == faultLostWrite {
		c.send(&pgproto3.BindComplete{}, &pgproto3.NoData{},
			&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		return true
	}
	var status byte
	for run := range runs {
		added := c.forward(target)
		if target.Flush() != nil {
			return false
		}
		status = readUntilReady(target.Frontend, func(message pgproto3.BackendMessage) {
			_, complete := message.(*pgproto3.CommandComplete)
			_, parsed := message.(*pgproto3.ParseComplete)
			switch {
			case parsed && added > 0:
				added--
			case run > 0:
			case insert && complete && c.entry.fault == faultFalseNotRun:
				c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "LW001", Message: "not run"})
			default:
				c.backend.Send(message)
			}
		})
	}
	c.transactionConn = nil
	if status != 'I' {
		c.transactionConn = target
	}
	return status != 0 && c.backend.Flush() == nil
}

func (c *clientConn) hasExecute() bool {
	for _, message := range c.pipeline {
		if _, ok := message.(*pgproto3.Execute); ok {
			return true
		}
	}
	return false
}

func (c *clientConn) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		c.backend.Send(m)
	}
	_ = c.backend.Flush()
}
