package proxy_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lentilwind.dev/entry/proxy"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/memory"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/quota"
	"lentilwind.dev/lentilwind/statement"
)

// databases connects to scripted databases in memory.
type databases struct {
	mu      sync.Mutex
	servers map[group.Server]*server
	opened  int
}

// server is one scripted database.
type server struct {
	name     group.Server
	primary  bool
	position group.Position
	// An unreachable server refuses connections. An unresponsive one runs statements, but its answers are lost.
	unreachable, unresponsive bool
	// lostReads is the number of reads that run without an answer, while later statements on the connection are answered.
	lostReads int
	// lostCommits is the number of commits that run and are not answered before their timeout.
	lostCommits int
	// refuseWrites is the outcome of the writes that are refused while the transaction stays open; empty if none are.
	refuseWrites statement.Outcome
	// slow is the delay of each read.
	slow time.Duration
	// running is the number of reads that run, and peak the largest that it has been.
	running, peak int
	executed      []statement.Statement
	workspaces    map[inventory.WorkspaceName]int
}

var errRefused = errors.New("connection refused")

// timeoutError is returned by Receive when its timeout expires.
type timeoutError struct{}

func (timeoutError) Error() string { return "no answer in time" }
func (timeoutError) Timeout() bool { return true }

func newDatabases(names ...group.Server) *databases {
	d := &databases{servers: make(map[group.Server]*server)}
	for i, name := range names {
		d.servers[name] = &server{name: name, primary: i == 0, workspaces: make(map[inventory.WorkspaceName]int)}
	}
	return d
}

func (d *databases) update(apply func(servers map[group.Server]*server)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply(d.servers)
}

// runCount returns how often a statement has run on all servers.
func (d *databases) runCount(id statement.ID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.servers {
		for _, st := range s.executed {
			if st.ID == id {
				n++
			}
		}
	}
	return n
}

func (d *databases) Connect(target database.Target, _ time.Duration) (database.Connection, statement.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[target.Server]
	if s == nil || s.unreachable {
		return nil, statement.Answer{}, errRefused
	}
	d.opened++
	s.workspaces[target.Workspace]++
	return &conn{databases: d, server: s}, statement.Answer{Outcome: statement.Done}, nil
}

// conn is a connection to a scripted database.
type conn struct {
	databases     *databases
	server        *server
	inTransaction bool
	answers       []statement.Answer
	unresponsive  bool
	delay         time.Duration
}

func (c *conn) Send(statements ...statement.Statement) error {
	c.databases.mu.Lock()
	defer c.databases.mu.Unlock()
	if c.server.unreachable {
		return errRefused
	}
	c.unresponsive = c.server.unresponsive
	for _, st := range statements {
		answer := c.run(st)
		if st.Verb == statement.Read && c.server.lostReads > 0 {
			c.server.lostReads--
			continue
		}
		if st.Verb == statement.Commit && c.server.lostCommits > 0 {
			c.server.lostCommits--
			c.unresponsive = true
		}
		c.answers = append(c.answers, answer)
	}
	return nil
}

func (c *conn) run(st statement.Statement) statement.Answer {
	c.server.executed = append(c.server.executed, st)
	answer := statement.Answer{Outcome: statement.Done, Signature: "sig"}
	if st.ID == statement.ProxyID {
		answer.Signature = statement.ProxySignature
	}
	switch st.Verb {
	case statement.Begin:
		if !st.ReadOnly && !c.server.primary {
			answer = statement.Answer{Outcome: statement.ReadOnlyServer}
			break
		}
		c.inTransaction = true
	case statement.Commit, statement.Rollback:
		c.inTransaction = false
	case statement.Write:
		if !c.server.primary {
			answer = statement.Answer{Outcome: statement.ReadOnlyServer}
			break
		}
		if c.server.refuseWrites != "" {
			answer = statement.Answer{Outcome: c.server.refuseWrites}
			break
		}
		c.server.position++
	case statement.Read:
		c.delay = c.server.slow
		if st.MinPosition.Position > c.server.position {
			answer = statement.Answer{Outcome: statement.Lagging}
			break
		}
		answer.Rows = []string{string(c.server.name)}
	}
	answer.State = statement.Idle
	if c.inTransaction {
		answer.State = statement.InTransaction
	}
	answer.Position = group.Floor{Term: 1, Position: c.server.position}
	return answer
}

func (c *conn) Receive(timeout time.Duration) (statement.Answer, error) {
	if c.unresponsive {
		return statement.Answer{}, timeoutError{}
	}
	c.databases.mu.Lock()
	delay := c.delay
	c.delay = 0
	if delay > 0 {
		c.server.running++
		c.server.peak = max(c.server.peak, c.server.running)
	}
	c.databases.mu.Unlock()
	time.Sleep(min(delay, timeout))
	c.databases.mu.Lock()
	defer c.databases.mu.Unlock()
	if delay > 0 {
		c.server.running--
	}
	if c.server.unreachable || len(c.answers) == 0 {
		return statement.Answer{}, io.ErrUnexpectedEOF
	}
	answer := c.answers[0]
	c.answers = c.answers[1:]
	return answer, nil
}

func (c *conn) Alive() bool {
	c.databases.mu.Lock()
	defer c.databases.mu.Unlock()
	return !c.server.unreachable
}

func (c *conn) Close() {}

// admitAll admits all operations.
type admitAll struct{}

func (admitAll) Acquire(context.Context, inventory.WorkspaceName, quota.Request) error { return nil }

func (admitAll) Ready() bool { return true }

// clientConn is a client session in memory.
type clientConn struct {
	database   policy.Database
	key        string
	statements chan statement.Statement
	answers    chan statement.Answer
	ended      chan struct{}
	once       sync.Once
	// noMemory makes the reservation of memory fail.
	noMemory atomic.Bool
}

func (c *clientConn) Start() (policy.Database, string, error) { return c.database, c.key, nil }

func (c *clientConn) Receive() (statement.Statement, error) {
	select {
	case st := <-c.statements:
		return st, nil
	case <-c.ended:
		return statement.Statement{}, io.EOF
	}
}

func (c *clientConn) Answer(a statement.Answer) error { c.answers <- a; return nil }
func (c *clientConn) Release(int)                     {}
func (c *clientConn) Interrupt()                      { c.once.Do(func() { close(c.ended) }) }
func (c *clientConn) Close()                          {}

func (c *clientConn) Reserve(int) error {
	if c.noMemory.Load() {
		return memory.ErrExhausted
	}
	return nil
}

// execute sends one statement and returns its answer.
func (c *clientConn) execute(id statement.ID, verb statement.Verb, text string) statement.Answer {
	return c.send(statement.Statement{ID: id, Verb: verb, Text: text, ReadOnly: verb == statement.Begin && strings.HasSuffix(text, "READ")})
}

func (c *clientConn) send(st statement.Statement) statement.Answer {
	c.statements <- st
	return <-c.answers
}

// entry is a proxy under test.
type entry struct {
	*proxy.Proxy
	t *testing.T
}

func newEntry(t *testing.T, name inventory.InstanceName, d *databases, client *peer.Client) *entry {
	t.Helper()
	p := proxy.New(proxy.Config{
		Instance: name, DataCentre: "near", Connector: d, Admission: admitAll{}, Client: client, Log: logs.Discard(), Now: time.Now,
	})
	p.SetPolicy(testPolicy(t, 1, "key"))
	p.SetRoster(newRoster(d))
	p.ExtendLease(time.Now().Add(time.Hour))
	return &entry{p, t}
}

// testStaleness is the staleness bound of the routes under test.
const testStaleness = 2 * time.Second

func testPolicy(t *testing.T, version policy.Version, keys ...string) *policy.Policy {
	t.Helper()
	b := policy.NewBuilder(version)
	b.AddService(policy.Service{Name: "stock", MaxConnections: 20})
	for name, consistency := range map[policy.Database]policy.Consistency{"orders": policy.Strong, "counts": policy.ReadYourWrites, "shelves": policy.BoundedStaleness} {
		b.AddRoute(policy.Route{
			Database: name, Service: "stock", Consistency: consistency, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2,
			MaxStaleness: testStaleness, AllowAnonymous: name == "shelves",
		})
	}
	b.AddWorkspace(policy.Workspace{Name: "pottery", Keys: keys, Rate: 100, Burst: 100})
	p, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func newRoster(d *databases, entries ...fleet.Entry) fleet.Roster {
	var roster fleet.Roster
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.servers {
		roster.Servers = append(roster.Servers, fleet.Server{Name: name, Service: "stock", DataCentre: "near", Primary: s.primary, Slots: 3})
	}
	roster.Entries = entries
	return roster
}

// open starts a session and returns it with the answer to the start message.
func (e *entry) open(database policy.Database, key string) (*clientConn, statement.Answer) {
	c := &clientConn{
		database: database, key: key, statements: make(chan statement.Statement), answers: make(chan statement.Answer, 1),
		ended: make(chan struct{}),
	}
	done := make(chan struct{})
	go func() { e.Serve(c); close(done) }()
	e.t.Cleanup(func() { c.Interrupt(); <-done })
	return c, <-c.answers
}

// newUnconfigured returns a proxy without a policy and without databases.
func newUnconfigured(d *databases) *proxy.Proxy {
	return proxy.New(proxy.Config{
		Instance: "bare", DataCentre: "near", Connector: d, Admission: admitAll{}, Log: logs.Discard(), Now: time.Now,
	})
}
