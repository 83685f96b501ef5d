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

// fault is one thing that a naive entry does wrong.
type fault string

const (
	faultNone        fault = "none"
	faultStale       fault = "stale"
	faultDouble      fault = "double"
	faultLose        fault = "lose"
	faultMix         fault = "mix"
	faultLeak        fault = "leak"
	faultFalseNotRun fault = "falseNotRun"
)

// naiveEntry relays callers to databases without any coordination, and with one fault put in.
type naiveEntry struct {
	t        *testing.T
	listener net.Listener
	service  database.Service
	fault    fault
	wg       sync.WaitGroup
}

func startNaive(t *testing.T, service database.Service, f fault) *naiveEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &naiveEntry{t: t, listener: listener, service: service, fault: f}
	e.wg.Go(e.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		e.wg.Wait()
	})
	return e
}

func (e *naiveEntry) accept() {
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

// naiveLink is a connection to a database with the statements prepared there.
type naiveLink struct {
	*pgproto3.Frontend
	prepared map[string]bool
}

// naiveCaller is one connection of a caller.
type naiveCaller struct {
	entry     *naiveEntry
	backend   *pgproto3.Backend
	workspace string
	key       string
	texts     map[string]string
	links     map[string]*naiveLink
	conns     []net.Conn
	current   *naiveLink
	// held is a pipeline that is not complete yet.
	held []pgproto3.FrontendMessage
	text string
}

func (e *naiveEntry) serve(c net.Conn) {
	caller := &naiveCaller{
		entry: e, backend: pgproto3.NewBackend(c, c),
		texts: make(map[string]string), links: make(map[string]*naiveLink),
	}
	defer func() {
		for _, c := range caller.conns {
			_ = c.Close()
		}
	}()
	if !caller.greet() {
		return
	}
	for {
		message, err := caller.backend.Receive()
		if err != nil {
			return
		}
		if !caller.handle(message) {
			return
		}
	}
}

func (c *naiveCaller) greet() bool {
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

// handle collects a pipeline and relays it once it is complete.
func (c *naiveCaller) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Parse:
		c.texts[m.Name] = m.Query
		c.text = m.Query
		parse := *m
		c.held = append(c.held, &parse)
		return true
	case *pgproto3.Bind:
		c.text = c.texts[m.PreparedStatement]
		bind := *m
		c.held = append(c.held, &bind)
		return true
	case *pgproto3.Describe:
		describe := *m
		c.held = append(c.held, &describe)
		return true
	case *pgproto3.Execute:
		execute := *m
		c.held = append(c.held, &execute)
		return true
	case *pgproto3.Close:
		delete(c.texts, m.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
		return true
	case *pgproto3.Query:
		c.text = m.String
		query := *m
		c.held = append(c.held, &query)
	case *pgproto3.Sync:
		if len(c.held) == 0 {
			c.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return true
		}
		c.held = append(c.held, &pgproto3.Sync{})
	}
	defer func() { c.held = nil }()
	return c.relay()
}

var keyPattern = regexp.MustCompile(`key='([^']*)'`)

// choose picks the link for the pipeline; a transaction stays where it began.
func (c *naiveCaller) choose() *naiveLink {
	if c.current != nil {
		return c.current
	}
	slot := int(load.SlotOf(keyPattern.FindStringSubmatch(c.text)[1], len(c.entry.service)))
	server, access := slot, "write"
	if strings.Contains(c.text, "SELECT") {
		access = "read"
		if c.entry.fault == faultStale {
			server = (slot + 1) % len(c.entry.service)
		}
	}
	workspace := c.workspace
	if c.entry.fault == faultMix {
		workspace = "stalls"
	}
	name := fmt.Sprint(slot, server, access)
	if c.links[name] == nil {
		c.links[name] = c.dial(c.entry.service[server].Address(), workspace, slot, access)
	}
	return c.links[name]
}

func (c *naiveCaller) dial(address, workspace string, slot int, access string) *naiveLink {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.entry.t.Error(err)
		return nil
	}
	c.conns = append(c.conns, conn)
	f := pgproto3.NewFrontend(conn, conn)
	parameters := map[string]string{"user": database.UserSystem, "database": "inventario-1"}
	if c.entry.fault == faultLeak {
		parameters["application_name"] = c.key
	}
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	_ = f.Flush()
	drain(f, func(pgproto3.BackendMessage) {})
	f.Send(&pgproto3.Query{String: fmt.Sprintf("SET lentilwind.workspace = '%s'; SET lentilwind.slot = '%d'; "+
		"SET lentilwind.term = '1'; SET lentilwind.access = '%s'", workspace, slot, access)})
	_ = f.Flush()
	drain(f, func(pgproto3.BackendMessage) {})
	return &naiveLink{Frontend: f, prepared: make(map[string]bool)}
}

// forward sends the pipeline and returns how many statements had to be prepared for it.
func (c *naiveCaller) forward(link *naiveLink) int {
	added := 0
	for _, message := range c.held {
		switch m := message.(type) {
		case *pgproto3.Parse:
			link.prepared[m.Name] = true
		case *pgproto3.Bind:
			if !link.prepared[m.PreparedStatement] {
				link.prepared[m.PreparedStatement] = true
				link.Send(&pgproto3.Parse{Name: m.PreparedStatement, Query: c.texts[m.PreparedStatement]})
				added++
			}
		}
		link.Send(message)
	}
	return added
}

// drain passes on messages up to ReadyForQuery and returns the transaction status.
func drain(f *pgproto3.Frontend, pass func(pgproto3.BackendMessage)) byte {
	for {
		message, err := f.Receive()
		if err != nil {
			return 0
		}
		pass(message)
		if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
			return ready.TxStatus
		}
	}
}

func (c *naiveCaller) relay() bool {
	link := c.choose()
	if link == nil {
		return false
	}
	runs := 1
	insert := strings.HasPrefix(c.text, "/*route='restock'") && c.current == nil && c.executes()
	if insert && c.entry.fault == faultDouble {
		runs = 2
	}
	if insert && c.entry.fault == faultLose {
		c.send(&pgproto3.BindComplete{}, &pgproto3.NoData{},
			&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		return true
	}
	var status byte
	for run := range runs {
		added := c.forward(link)
		if link.Flush() != nil {
			return false
		}
		status = drain(link.Frontend, func(message pgproto3.BackendMessage) {
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
	c.current = nil
	if status != 'I' {
		c.current = link
	}
	return status != 0 && c.backend.Flush() == nil
}

func (c *naiveCaller) executes() bool {
	for _, message := range c.held {
		if _, ok := message.(*pgproto3.Execute); ok {
			return true
		}
	}
	return false
}

func (c *naiveCaller) send(messages ...pgproto3.BackendMessage) {
	for _, m := range messages {
		c.backend.Send(m)
	}
	_ = c.backend.Flush()
}
