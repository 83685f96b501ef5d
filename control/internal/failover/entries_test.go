package failover_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	pingPeriod   = 20 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
	reportPeriod = time.Second
)

// startEntries starts an entry in each data centre; it keeps a connection to every server and reports silent ones at once.
func (f *fleet) startEntries(ctx context.Context, g *errgroup.Group) {
	for i := range names {
		e := &entry{fleet: f, suspects: map[group.Server]bool{}, report: make(chan struct{}, 1)}
		e.name = inventory.InstanceName(fmt.Sprintf("entry-%d", i+1))
		e.dataCentre = inventory.DataCentre(fmt.Sprintf("dc%d", i+1))
		g.Go(func() error { return e.reports(ctx) })
		for _, name := range names {
			g.Go(func() error { return e.watch(ctx, name) })
		}
	}
}

type entry struct {
	fleet      *fleet
	name       inventory.InstanceName
	dataCentre inventory.DataCentre
	report     chan struct{}

	mu       sync.Mutex
	suspects map[group.Server]bool
}

func (e *entry) reports(ctx context.Context) error {
	for ctx.Err() == nil {
		report := protocol.EntryReport{Name: e.name, DataCentre: e.dataCentre, Incarnation: 1}
		e.mu.Lock()
		for name := range e.suspects {
			report.Suspects = append(report.Suspects, protocol.Suspicion{Service: service, Server: name})
		}
		e.mu.Unlock()
		changed := e.fleet.processes[0].roster.Changed()
		for _, p := range e.fleet.processes {
			report.Topology = e.fleet.version(p)
			p.roster.HandleEntryReport(report)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-e.report:
		case <-time.After(reportPeriod):
		}
	}
	return nil
}

// version stands for an entry that takes in every topology at once and runs no transaction.
func (f *fleet) version(p *process) protocol.TopologyVersion {
	if topology := p.roster.Topology(protocol.TopologyVersion{}); topology != nil {
		return topology.Version
	}
	return protocol.TopologyVersion{}
}

// watch pings a server and notes whether it answers.
func (e *entry) watch(ctx context.Context, name group.Server) error {
	var conn *pgx.Conn
	for ctx.Err() == nil {
		var err error
		if conn == nil {
			conn, err = e.fleet.dial(ctx, name, pingTimeout)
		}
		if err == nil {
			err = ping(ctx, conn)
		}
		if err != nil && conn != nil {
			_ = conn.PgConn().Conn().Close()
			conn = nil
		}
		e.note(name, err != nil)
		select {
		case <-ctx.Done():
		case <-time.After(pingPeriod):
		}
	}
	if conn != nil {
		_ = conn.PgConn().Conn().Close()
	}
	return nil
}

func ping(ctx context.Context, conn *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := conn.PgConn().Exec(ctx, "SET lentilwind.workspace = 'w'; SET lentilwind.slot = '0'; "+
		"SET lentilwind.term = '1'; SET lentilwind.access = 'read'").ReadAll()
	return err
}

func (e *entry) note(name group.Server, suspect bool) {
	e.mu.Lock()
	changed := e.suspects[name] != suspect
	if suspect {
		e.suspects[name] = true
	} else {
		delete(e.suspects, name)
	}
	e.mu.Unlock()
	if changed {
		select {
		case e.report <- struct{}{}:
		default:
		}
	}
}

func (f *fleet) dial(ctx context.Context, name group.Server, timeout time.Duration) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.mu.Lock()
	address := f.nodes[name].address
	f.mu.Unlock()
	return connect(ctx, address)
}

func connect(ctx context.Context, address netip.AddrPort) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://lentilwind@%s/%s?sslmode=disable", address, service))
}

// acked is a write that a majority confirmed in its term.
type acked struct {
	id   string
	term group.Term
	at   time.Time
}

// caller writes to the first group as fast as answers come, with every write's outcome decided as an entry would.
type caller struct {
	fleet *fleet
	conn  *pgx.Conn
	to    group.Configuration

	mu    sync.Mutex
	acked []acked
}

func (f *fleet) startCaller() *caller {
	c := &caller{fleet: f}
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil; i++ {
			c.write(ctx, fmt.Sprintf("w-%d", i))
		}
	}()
	f.cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func (c *caller) write(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	position, err := c.insert(ctx, id)
	if err != nil {
		c.hangUp()
		time.Sleep(time.Millisecond)
		return
	}
	for ctx.Err() == nil && !c.fleet.confirmed(c.to.Term, position) {
		time.Sleep(time.Millisecond)
	}
	if ctx.Err() == nil {
		c.mu.Lock()
		c.acked = append(c.acked, acked{id: id, term: c.to.Term, at: time.Now()})
		c.mu.Unlock()
	}
}

// hangUp closes the connection without waiting for the other end.
func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.PgConn().Conn().Close()
		c.conn = nil
	}
}

// insert writes on a connection that has the scope of the newest topology.
func (c *caller) insert(ctx context.Context, id string) (group.Position, error) {
	if to := c.fleet.topology(); c.conn == nil || to != c.to {
		c.hangUp()
		c.to = to
		conn, err := c.fleet.writer(ctx, to)
		if err != nil {
			return 0, err
		}
		c.conn = conn
	}
	if _, err := c.conn.Exec(ctx, "INSERT INTO journal (id, key, value) VALUES ($1, 'k', 1)", id); err != nil {
		return 0, err
	}
	status, err := group.ParseStatus(c.conn.PgConn().ParameterStatus("lentilwind.position"))
	return status.Applied, err
}

func (f *fleet) writer(ctx context.Context, to group.Configuration) (*pgx.Conn, error) {
	if to.Primary == "" {
		return nil, fmt.Errorf("no primary in term %d", to.Term)
	}
	conn, err := f.dial(ctx, to.Primary, pingTimeout)
	if err != nil {
		return nil, err
	}
	return conn, setWriteScope(ctx, conn, to)
}

// directWriter connects to a server past its relay.
func (f *fleet) directWriter(n *node, to group.Configuration) (*pgx.Conn, error) {
	conn, err := connect(f.ctx, n.target)
	if err != nil {
		return nil, err
	}
	return conn, setWriteScope(f.ctx, conn, to)
}

func setWriteScope(ctx context.Context, conn *pgx.Conn, to group.Configuration) error {
	_, err := conn.PgConn().Exec(ctx, fmt.Sprintf("SET lentilwind.workspace = 'w'; SET lentilwind.slot = '0'; "+
		"SET lentilwind.term = '%d'; SET lentilwind.access = 'write'", to.Term)).ReadAll()
	return err
}

// confirmed tells whether a majority holds a position in its term.
func (f *fleet) confirmed(term group.Term, position group.Position) bool {
	count := 0
	for name, n := range f.nodes {
		f.mu.Lock()
		hidden := f.hidden[name]
		f.mu.Unlock()
		status, running := n.server.Status(0)
		if !hidden && running && status.Term == term && status.FencedTerm <= term && status.Received >= position {
			count++
		}
	}
	return count > len(f.nodes)/2
}

// gap returns the time from the last write acknowledged in a term to the first of a later one.
func (c *caller) gap(term group.Term) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, a := range c.acked {
		if a.term <= term {
			last = a.at
		} else if !last.IsZero() {
			return a.at.Sub(last), true
		}
	}
	return 0, false
}

func (c *caller) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acked)
}
