package proxy_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilwind.dev/entry/proxy"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// databases is a connector to scripted databases in memory.
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
	// unreachable servers refuse connections, and mute ones run statements and lose the answers.
	unreachable, mute bool
	// losing is how many reads are run whose answers are lost while those behind them on the connection still come.
	losing int
	// slow delays each read.
	slow       time.Duration
	ran        []statement.Statement
	workspaces map[inventory.WorkspaceName]int
}

var errRefused = errors.New("connection refused")

// muteError is what a receiver sees when its time is over.
type muteError struct{}

func (muteError) Error() string { return "no answer in time" }
func (muteError) Timeout() bool { return true }

func newDatabases(names ...group.Server) *databases {
	d := &databases{servers: make(map[group.Server]*server)}
	for i, name := range names {
		d.servers[name] = &server{name: name, primary: i == 0, workspaces: make(map[inventory.WorkspaceName]int)}
	}
	return d
}

func (d *databases) change(do func(servers map[group.Server]*server)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do(d.servers)
}

// runs counts how often a server ran the statement with an id.
func (d *databases) runs(id statement.ID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.servers {
		for _, st := range s.ran {
			if st.ID == id {
				n++
			}
		}
	}
	return n
}

func (d *databases) Connect(target database.Target, _ time.Duration) (database.Backend, statement.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[target.Server]
	if s == nil || s.unreachable {
		return nil, statement.Answer{}, errRefused
	}
	d.opened++
	s.workspaces[target.Workspace]++
	return &conn{d: d, s: s}, statement.Answer{Outcome: statement.Done}, nil
}

// conn is a connection to a scripted database.
type conn struct {
	d       *databases
	s       *server
	open    bool
	answers []statement.Answer
	mute    bool
	wait    time.Duration
}

func (c *conn) Send(statements ...statement.Statement) error {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if c.s.unreachable {
		return errRefused
	}
	c.mute = c.s.mute
	for _, st := range statements {
		answer := c.run(st)
		if st.Verb == statement.Read && c.s.losing > 0 {
			c.s.losing--
			continue
		}
		c.answers = append(c.answers, answer)
	}
	return nil
}

func (c *conn) run(st statement.Statement) statement.Answer {
	c.s.ran = append(c.s.ran, st)
	a := statement.Answer{Outcome: statement.Done, Signature: "sig"}
	if st.ID == statement.Own {
		a.Signature = statement.OwnSignature
	}
	switch st.Verb {
	case statement.Begin:
		if !st.ReadOnly && !c.s.primary {
			a = statement.Answer{Outcome: statement.ReadOnlyServer}
			break
		}
		c.open = true
	case statement.Commit, statement.Rollback:
		c.open = false
	case statement.Write:
		if !c.s.primary {
			a = statement.Answer{Outcome: statement.ReadOnlyServer}
			break
		}
		c.s.position++
	case statement.Read:
		c.wait = c.s.slow
		if st.After.Position > c.s.position {
			a = statement.Answer{Outcome: statement.Lagging}
			break
		}
		a.Rows = []string{string(c.s.name)}
	}
	a.State = statement.Idle
	if c.open {
		a.State = statement.InTransaction
	}
	a.Position = group.Floor{Term: 1, Position: c.s.position}
	return a
}

func (c *conn) Receive(timeout time.Duration) (statement.Answer, error) {
	if c.mute {
		return statement.Answer{}, muteError{}
	}
	c.d.mu.Lock()
	wait := c.wait
	c.d.mu.Unlock()
	time.Sleep(min(wait, timeout))
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if c.s.unreachable || len(c.answers) == 0 {
		return statement.Answer{}, io.ErrUnexpectedEOF
	}
	a := c.answers[0]
	c.answers = c.answers[1:]
	return a, nil
}

func (c *conn) Alive() bool {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	return !c.s.unreachable
}

func (c *conn) Close() {}

// everybody admits all operations.
type everybody struct{}

func (everybody) Acquire(context.Context, inventory.WorkspaceName) error { return nil }
func (everybody) Ready() bool                                            { return true }

// caller is a session in memory.
type caller struct {
	database policy.Database
	key      string
	asks     chan statement.Statement
	answers  chan statement.Answer
	ended    chan struct{}
	once     sync.Once
}

func (c *caller) Start() (policy.Database, string, error) { return c.database, c.key, nil }

func (c *caller) Receive() (statement.Statement, error) {
	select {
	case st := <-c.asks:
		return st, nil
	case <-c.ended:
		return statement.Statement{}, io.EOF
	}
}

func (c *caller) Answer(a statement.Answer) error { c.answers <- a; return nil }
func (c *caller) Interrupt()                      { c.once.Do(func() { close(c.ended) }) }
func (c *caller) Close()                          {}

// ask sends one statement and returns its answer.
func (c *caller) ask(id statement.ID, verb statement.Verb, text string) statement.Answer {
	c.asks <- statement.Statement{ID: id, Verb: verb, Text: text, ReadOnly: verb == statement.Begin && strings.HasSuffix(text, "READ")}
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
		Instance: name, DataCentre: "near", Connector: d, Admission: everybody{}, Client: client, Log: logs.Discard(), Now: time.Now,
	})
	p.SetPolicy(testPolicy(t, 1, "key"))
	p.SetRoster(roster(d))
	p.ExtendLease(time.Now().Add(time.Hour))
	return &entry{p, t}
}

func testPolicy(t *testing.T, version policy.Version, keys ...string) *policy.Policy {
	t.Helper()
	b := policy.NewBuilder(version)
	b.Service(policy.Service{Name: "stock", MaxConnections: 20})
	for name, consistency := range map[policy.Database]policy.Consistency{"orders": policy.Newest, "counts": policy.OwnWrites, "shelves": policy.Bounded} {
		b.Route(policy.Route{
			Database: name, Service: "stock", Consistency: consistency, Timeout: time.Second, Target: 300 * time.Millisecond, Attempts: 2,
			MaxStaleness: 2 * time.Second, Open: name == "shelves",
		})
	}
	b.Workspace(policy.Workspace{Name: "pottery", Keys: keys, Rate: 100, Burst: 100})
	p, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func roster(d *databases, entries ...fleet.Entry) fleet.Roster {
	var r fleet.Roster
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.servers {
		r.Servers = append(r.Servers, fleet.Server{Name: name, Service: "stock", DataCentre: "near", Primary: s.primary, Slots: 3})
	}
	r.Entries = entries
	return r
}

// open begins a session and returns it with the answer to its start.
func (e *entry) open(database policy.Database, key string) (*caller, statement.Answer) {
	c := &caller{
		database: database, key: key, asks: make(chan statement.Statement), answers: make(chan statement.Answer, 1),
		ended: make(chan struct{}),
	}
	done := make(chan struct{})
	go func() { e.Serve(c); close(done) }()
	e.t.Cleanup(func() { c.Interrupt(); <-done })
	return c, <-c.answers
}

// newBare returns a proxy that knows neither a configuration nor databases.
func newBare(d *databases) *proxy.Proxy {
	return proxy.New(proxy.Config{
		Instance: "bare", DataCentre: "near", Connector: d, Admission: everybody{}, Log: logs.Discard(), Now: time.Now,
	})
}
