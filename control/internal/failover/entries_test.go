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
	pingInterval   = 20 * time.Millisecond
	pingTimeout    = 300 * time.Millisecond
	reportInterval = time.Second
)

// startEntries simulates an entry in each data centre, which keeps a connection to every server and reports silent ones at once.
func (f *fleet) startEntries(ctx context.Context, g *errgroup.Group) {
	for i := range serverNames {
		e := &entry{fleet: f, suspects: map[group.Server]bool{}, report: make(chan struct{}, 1)}
		e.name = inventory.InstanceName(fmt.Sprintf("entry-%d", i+1))
		e.dataCentre = inventory.DataCentre(fmt.Sprintf("dc%d", i+1))
		g.Go(func() error { return e.reportLoop(ctx) })
		for _, name := range serverNames {
			g.Go(func() error { return e.pingLoop(ctx, name) })
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

func (e *entry) reportLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		report := protocol.EntryReport{Name: e.name, DataCentre: e.dataCentre, Incarnation: 1}
		e.mu.Lock()
		for name := range e.suspects {
			report.Suspects = append(report.Suspects, protocol.Suspicion{Service: service, Server: name})
		}
		e.mu.Unlock()
		changed := e.fleet.processes[0].roster.Changed()
		for _, p := range e.fleet.processes {
			report.Topology = e.fleet.topologyVersion(p)
			p.roster.HandleEntryReport(report)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-e.report:
		case <-time.After(reportInterval):
		}
	}
	return nil
}

// topologyVersion returns the latest version: the simulated entries apply every topology at once and run no transactions.
func (f *fleet) topologyVersion(p *process) protocol.TopologyVersion {
	if topology := p.roster.Topology(protocol.TopologyVersion{}); topology != nil {
		return topology.Version
	}
	return protocol.TopologyVersion{}
}

// pingLoop pings a server and updates whether it is suspected.
func (e *entry) pingLoop(ctx context.Context, name group.Server) error {
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
		e.setSuspect(name, err != nil)
		select {
		case <-ctx.Done():
		case <-time.After(pingInterval):
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

func (e *entry) setSuspect(name group.Server, suspect bool) {
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

// ackedWrite is a write that a majority confirmed in its term.
type ackedWrite struct {
	id   string
	term group.Term
	at   time.Time
}

// client writes to the first group without pause and decides the outcome of each write as an entry does.
type client struct {
	fleet  *fleet
	conn   *pgx.Conn
	config group.Configuration

	mu    sync.Mutex
	acked []ackedWrite
}

func (f *fleet) startClient() *client {
	c := &client{fleet: f}
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

func (c *client) write(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	position, err := c.insert(ctx, id)
	if err != nil {
		c.disconnect()
		time.Sleep(time.Millisecond)
		return
	}
	for ctx.Err() == nil && !c.fleet.majorityHolds(c.config.Term, position) {
		time.Sleep(time.Millisecond)
	}
	if ctx.Err() == nil {
		c.mu.Lock()
		c.acked = append(c.acked, ackedWrite{id: id, term: c.config.Term, at: time.Now()})
		c.mu.Unlock()
	}
}

// disconnect closes the connection without waiting for the server.
func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.PgConn().Conn().Close()
		c.conn = nil
	}
}

// insert writes over a connection opened for the latest configuration.
func (c *client) insert(ctx context.Context, id string) (group.Position, error) {
	if config := c.fleet.topology(); c.conn == nil || config != c.config {
		c.disconnect()
		c.config = config
		conn, err := c.fleet.writer(ctx, config)
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

func (f *fleet) writer(ctx context.Context, config group.Configuration) (*pgx.Conn, error) {
	if config.Primary == "" {
		return nil, fmt.Errorf("no primary in term %d", config.Term)
	}
	conn, err := f.dial(ctx, config.Primary, pingTimeout)
	if err != nil {
		return nil, err
	}
	return conn, setWriteScope(ctx, conn, config)
}

// directWriter connects to a server without its relay.
func (f *fleet) directWriter(n *node, config group.Configuration) (*pgx.Conn, error) {
	conn, err := connect(f.ctx, n.target)
	if err != nil {
		return nil, err
	}
	return conn, setWriteScope(f.ctx, conn, config)
}

func setWriteScope(ctx context.Context, conn *pgx.Conn, config group.Configuration) error {
	_, err := conn.PgConn().Exec(ctx, fmt.Sprintf("SET lentilwind.workspace = 'w'; SET lentilwind.slot = '0'; "+
		"SET lentilwind.term = '%d'; SET lentilwind.access = 'write'", config.Term)).ReadAll()
	return err
}

// majorityHolds reports whether a majority holds a position in its term.
func (f *fleet) majorityHolds(term group.Term, position group.Position) bool {
	count := 0
	for name, n := range f.nodes {
		f.mu.Lock()
		cutOff := f.cutOff[name]
		f.mu.Unlock()
		status, running := n.server.Status(0)
		if !cutOff && running && status.Term == term && status.FencedTerm <= term && status.Received >= position {
			count++
		}
	}
	return count > len(f.nodes)/2
}

// failoverGap returns the time from the last write acknowledged in a term to the first one of a later term.
func (c *client) failoverGap(term group.Term) (time.Duration, bool) {
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

func (c *client) ackedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acked)
}
