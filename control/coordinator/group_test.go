package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"lentilwind.dev/control/coordinator"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// Times of the databases, of the platform and of the tests.
const (
	announceInterval = 50 * time.Millisecond
	takeoverTime     = 20 * time.Millisecond
	waitTimeout      = 15 * time.Second
)

var errDown = errors.New("the database is down")

// databaseGroup is a replicated group of databases in memory. A commit is acknowledged once one replica has received it. It also plays the
// platform, which promotes one of them.
type databaseGroup struct {
	mu        sync.Mutex
	databases map[group.Server]*memoryDatabase
	leader    group.Server
	term      group.Term
	// acknowledged holds the commits that were acknowledged, and lost those of them that a promoted database lacked.
	acknowledged, lost []string
	promotions         []group.Server
	token              uint64
	// orderDelay is how late orders are carried out; orders that take longer than their sender waits are still carried out. refuse makes
	// the platform refuse all orders. orders counts those that were received.
	orderDelay time.Duration
	refuse     bool
	orders     []group.Server
	// returnsWhenAsked makes a database that hides from control come back when control asks another one for its status.
	returnsWhenAsked group.Server
	// noSuspend makes the databases refuse SUSPEND and RESUME as unknown.
	noSuspend bool
}

// memoryDatabase is one database of a group; it is protected by the lock of the group.
type memoryDatabase struct {
	name     group.Server
	address  string
	log      []string
	term     group.Term
	sequence uint64
	// down databases refuse connections, and hidden ones those of control. Deaf ones receive nothing.
	down, hidden, deaf, leaving bool
	suspended                   group.Term
	// unapplied is the number of commits that were received and not applied yet.
	unapplied int
	// busy databases answer STATUS without a report; stuck ones do so to all statements that take no part in a transaction.
	busy, stuck bool
	// acknowledged is set when control has acknowledged that the database leaves.
	acknowledged bool
	// probes counts the transactions that control began to learn whether the database leads.
	probes int
}

func newDatabaseGroup(names ...group.Server) *databaseGroup {
	g := &databaseGroup{databases: make(map[group.Server]*memoryDatabase), leader: names[0], term: 3}
	for i, name := range names {
		g.databases[name] = &memoryDatabase{name: name, address: fmt.Sprintf("127.0.0.1:%d", 5000+i), term: g.term}
	}
	return g
}

// update changes a database.
func (g *databaseGroup) update(name group.Server, change func(d *memoryDatabase)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.databases[name])
}

// commit writes to the primary and reports whether the write was acknowledged.
func (g *databaseGroup) commit(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := g.databases[g.leader]
	if primary == nil || primary.down {
		return false
	}
	primary.log = append(primary.log, id)
	received := false
	for _, d := range g.databases {
		if d == primary || d.down || d.deaf || d.suspended > 0 {
			continue
		}
		d.log, d.term = slices.Clone(primary.log), primary.term
		received = true
	}
	if received {
		g.acknowledged = append(g.acknowledged, id)
	}
	return received
}

// Promote plays the platform.
func (g *databaseGroup) Promote(ctx context.Context, order coordinator.PromotionOrder) error {
	g.mu.Lock()
	delay := g.orderDelay
	g.orders = append(g.orders, order.Server)
	refuse := g.refuse
	g.mu.Unlock()
	if refuse {
		return coordinator.ErrFenced
	}
	done := make(chan error, 1)
	time.AfterFunc(delay, func() { done <- g.carryOut(order) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return coordinator.ErrNoResponse
	}
}

func (g *databaseGroup) carryOut(order coordinator.PromotionOrder) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.databases[order.Server]
	if order.Token < g.token || d == nil || d.down {
		return coordinator.ErrFenced
	}
	g.token = order.Token
	if g.leader != order.Server {
		time.AfterFunc(takeoverTime, func() { g.takeOver(d, order.Token) })
	}
	return nil
}

func (g *databaseGroup) takeOver(d *memoryDatabase, token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token || g.leader == d.name || d.down {
		return
	}
	g.promotions = append(g.promotions, d.name)
	for _, id := range g.acknowledged {
		if !slices.Contains(d.log, id) {
			g.lost = append(g.lost, fmt.Sprintf("%s at %s", id, d.name))
		}
	}
	g.term++
	g.leader, d.term, d.deaf = d.name, g.term, false
	for _, r := range g.databases {
		r.suspended = 0
		if r != d && !r.down && !r.deaf {
			r.log, r.term = slices.Clone(d.log), g.term
		}
	}
}

// Connect implements database.Connector.
func (g *databaseGroup) Connect(target database.Target, _ time.Duration) (database.Connection, statement.Answer, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.databases[target.Server]
	if d == nil || d.down || d.hidden {
		return nil, statement.Answer{}, errDown
	}
	return &memoryConn{group: g, database: d}, statement.Answer{Outcome: statement.Done}, nil
}

// memoryConn is a connection to a memoryDatabase.
type memoryConn struct {
	group    *databaseGroup
	database *memoryDatabase
	answers  []statement.Answer
}

func (c *memoryConn) Alive() bool { return true }

func (c *memoryConn) Close() {}

func (c *memoryConn) Receive(time.Duration) (statement.Answer, error) {
	if len(c.answers) == 0 {
		return statement.Answer{}, errDown
	}
	answer := c.answers[0]
	c.answers = c.answers[1:]
	return answer, nil
}

func (c *memoryConn) Send(statements ...statement.Statement) error {
	g, d := c.group, c.database
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || d.hidden {
		return errDown
	}
	for _, st := range statements {
		answer := g.run(d, st)
		answer.State, answer.Position = statement.Idle, group.Floor{Term: d.term, Position: group.Position(len(d.log) - d.unapplied)}
		c.answers = append(c.answers, answer)
	}
	return nil
}

// run answers one statement.
func (g *databaseGroup) run(d *memoryDatabase, st statement.Statement) statement.Answer {
	switch st.Verb {
	case statement.Begin:
		d.probes++
		if g.leader != d.name {
			return statement.Answer{Outcome: statement.ReadOnlyServer}
		}
		return statement.Answer{Outcome: statement.Done}
	case statement.Rollback:
		return statement.Answer{Outcome: statement.Done}
	case statement.Status:
		if back := g.databases[g.returnsWhenAsked]; back != nil {
			back.hidden = false
		}
		if d.busy {
			return statement.Answer{Outcome: statement.Busy}
		}
	case statement.Demote:
		if g.leader == d.name && d.term < st.Term {
			g.leader = ""
		}
	case statement.Suspend:
		if g.noSuspend {
			return statement.Answer{Outcome: statement.Malformed}
		}
		if g.leader != d.name && st.Term > d.term {
			d.suspended = max(d.suspended, st.Term)
		}
	case statement.Resume:
		if g.noSuspend {
			return statement.Answer{Outcome: statement.Malformed}
		}
		d.suspended = 0
	default:
		return statement.Answer{Outcome: statement.Malformed}
	}
	if d.stuck {
		return statement.Answer{Outcome: statement.Busy}
	}
	return statement.Answer{Outcome: statement.Done, Report: &statement.Report{
		Primary: g.leader == d.name, Term: d.term, Received: group.Floor{Term: d.term, Position: group.Position(len(d.log))}, Suspended: d.suspended,
	}}
}

// announce sends the announcements of all running databases until the test ends.
func (g *databaseGroup) announce(ctx context.Context, c *coordinator.Coordinator) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		var servers []fleet.Server
		for _, d := range g.databases {
			d.sequence++
			if !d.down {
				servers = append(servers, fleet.Server{
					Name: d.name, Service: "stock", Address: d.address, DataCentre: "near", Incarnation: 1, Sequence: d.sequence,
					Primary: g.leader == d.name, Leaving: d.leaving, Slots: 3,
				})
			}
		}
		g.mu.Unlock()
		for _, s := range servers {
			if c.Announce(ctx, s) != nil || !s.Leaving {
				continue // A lost announcement is followed by the next one.
			}
			g.update(s.Name, func(d *memoryDatabase) { d.acknowledged = true })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startControl runs a control process for the group, whose service has one synchronous replica, until the test ends.
func startControl(t *testing.T, g *databaseGroup, dir string) (stop func()) {
	t.Helper()
	stop, _ = startServingControl(t, g, dir)
	return stop
}

// startServingControl also returns the address on which the control process serves entries.
func startServingControl(t *testing.T, g *databaseGroup, dir string) (stop func(), address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := coordinator.New(coordinator.Config{
		Instance: "control", Address: "127.0.0.1:9", Seeds: []string{"127.0.0.1:9"}, RereadSeeds: func() []string { return nil }, FirstStart: true,
		DataFolder: dir, Lease: time.Second, AnnounceInterval: announceInterval, DecodePolicy: decodePolicy, Connector: g, Promoter: g,
		Client: peer.NewClient("control"), Log: logs.Discard(), Now: time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	server := peer.NewServer("control", logs.Discard())
	c.RegisterHandlers(server)
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, listener) }) // Ends with the context.
	running.Go(func() {
		if err := c.Run(ctx); err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	running.Go(func() { g.announce(ctx, c) })
	stop = func() { cancel(); running.Wait() }
	t.Cleanup(stop)
	eventually(t, "the configuration is accepted", func() bool { return c.Apply(ctx, 7, []byte("{}")) == nil })
	g.awaitProbes(t)
	return stop, listener.Addr().String()
}

func decodePolicy(d fleet.Document) (*policy.Policy, error) {
	b := policy.NewBuilder(d.Version)
	b.AddService(policy.Service{Name: "stock", MaxConnections: 20, SyncReplicas: 1})
	return b.Build()
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out after %v: %s", waitTimeout, what)
}

// awaitProbes waits until control watches the primary.
func (g *databaseGroup) awaitProbes(t *testing.T) {
	t.Helper()
	probes := func() (n int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.databases[g.leader].probes
	}
	first := probes()
	eventually(t, "control watches the primary", func() bool { return probes() >= first+2 })
}

// awaitPromotion waits until a database was promoted, and checks that no acknowledged commit is lost.
func (g *databaseGroup) awaitPromotion(t *testing.T, want group.Server) {
	t.Helper()
	eventually(t, string(want)+" is promoted", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.leader == want || len(g.lost) > 0
	})
	g.checkNothingLost(t)
}

func (g *databaseGroup) checkNothingLost(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lost) > 0 {
		t.Errorf("promoted %v; they lacked %d acknowledged commits, first %v", g.promotions, len(g.lost), g.lost[:min(len(g.lost), 3)])
	}
}

// awaitOrder waits until the platform has received an order, and returns its server.
func (g *databaseGroup) awaitOrder(t *testing.T) (server group.Server) {
	t.Helper()
	eventually(t, "a promotion is ordered", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		if len(g.orders) == 0 {
			return false
		}
		server = g.orders[0]
		return true
	})
	return server
}

// startCommitting writes to the primary until the test or the returned function ends it.
func (g *databaseGroup) startCommitting(t *testing.T) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for n := 0; ; n++ {
			g.commit(fmt.Sprintf("c%d", n))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	stop = sync.OnceFunc(func() { close(done); running.Wait() })
	t.Cleanup(stop)
	return stop
}

// acknowledgedWithin returns how many commits are acknowledged within a time.
func (g *databaseGroup) acknowledgedWithin(d time.Duration) int {
	count := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.acknowledged)
	}
	before := count()
	time.Sleep(d)
	return count() - before
}

// anySuspended reports whether a database has been stopped from receiving.
func (g *databaseGroup) anySuspended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.databases {
		if d.suspended > 0 {
			return true
		}
	}
	return false
}

// mustCommit writes to the primary and fails the test if the write is not acknowledged.
func (g *databaseGroup) mustCommit(t *testing.T, id string) {
	t.Helper()
	if !g.commit(id) {
		t.Fatalf("%s was not acknowledged", id)
	}
}
