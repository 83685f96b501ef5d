package pool_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

const testTimeout = 10 * time.Second

func newPool(t *testing.T, limit int) (*pool.Pool, *database.Server) {
	t.Helper()
	service, err := database.StartService(database.Config{Service: "inventario-1", DataCentre: "raquira"}, "db-0")
	if err != nil {
		t.Fatal(err)
	}
	p := pool.NewPool("inventario-1", "db-0", netip.MustParseAddrPort(service[0].Address()), limit)
	t.Cleanup(func() {
		p.Close()
		_ = service.Close()
	})
	return p, service[0]
}

func newRequest(workspace inventory.WorkspaceName, wait time.Duration) *pool.Request {
	return &pool.Request{
		Scope:    pool.Scope{Workspace: workspace, Term: 1, Access: inventory.AccessWrite},
		Class:    pool.Class{Workspace: workspace, Weight: 1},
		Deadline: time.Now().Add(wait),
	}
}

func acquire(t *testing.T, p *pool.Pool, w *pool.Request) *pool.Conn {
	t.Helper()
	conn, err := p.Acquire(context.Background(), w)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestPoolNeverExceedsLimit(t *testing.T) {
	p, server := newPool(t, 3)
	var g errgroup.Group
	for range 30 {
		g.Go(func() error {
			conn, err := p.Acquire(context.Background(), newRequest("florists", testTimeout))
			if err != nil {
				return err
			}
			defer p.Release(conn, true)
			if server.Connections() > 3 {
				return errors.New("too many connections")
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if usage := p.Usage(); usage.Open > 3 || usage.Open != usage.Idle || usage.Waiting != 0 {
		t.Errorf("%+v", usage)
	}
}

func TestClosedConnectionFreesCapacityForWaiter(t *testing.T) {
	p, _ := newPool(t, 1)
	first := acquire(t, p, newRequest("florists", testTimeout))
	done := make(chan error, 1)
	go func() {
		conn, err := p.Acquire(context.Background(), newRequest("stallholders", testTimeout))
		if err == nil {
			p.Release(conn, true)
		}
		done <- err
	}()
	for end := time.Now().Add(testTimeout); p.Usage().Waiting == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second transaction is not waiting")
		}
	}
	p.Release(first, false)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestAcquireFailsAtDeadline(t *testing.T) {
	p, _ := newPool(t, 1)
	conn := acquire(t, p, newRequest("florists", testTimeout))
	if _, err := p.Acquire(context.Background(), newRequest("stallholders", 20*time.Millisecond)); !errors.Is(err, pool.ErrWaitTooLong) {
		t.Errorf("got %v", err)
	}
	p.Release(conn, true)
	p.Release(acquire(t, p, newRequest("stallholders", testTimeout)), true)
}

func TestConnectionsClosedByDatabaseAreNotReused(t *testing.T) {
	p, server := newPool(t, 2)
	p.Warm(context.Background(), 2)
	if usage := p.Usage(); usage.Idle != 2 {
		t.Fatalf("%+v", usage)
	}
	for _, conn := range []*pool.Conn{acquire(t, p, newRequest("florists", testTimeout)), acquire(t, p, newRequest("florists", testTimeout))} {
		// Connections that responded within livenessCheckAfter are not checked.
		conn.LastResponse = time.Time{}
		p.Release(conn, true)
	}
	server.DropConnections()
	for end := time.Now().Add(testTimeout); server.Connections() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connections are still open")
		}
	}
	conn := acquire(t, p, newRequest("florists", testTimeout))
	defer p.Release(conn, true)
	if _, err := conn.Write(pool.AppendQuery(nil, "SELECT 1")); err != nil {
		t.Error(err)
	}
	if _, err := conn.Reader.Peek(1); err != nil {
		t.Errorf("Acquire returned a closed connection: %v", err)
	}
}

func TestEachRunningWriteReportsRunningWrites(t *testing.T) {
	p, _ := newPool(t, 2)
	conn := acquire(t, p, newRequest("florists", testTimeout))
	count := func() (n int) {
		p.EachRunningWrite(func(id group.ID, term group.Term) {
			if id.Service != "inventario-1" || term != 1 {
				t.Errorf("%v, term %d", id, term)
			}
			n++
		})
		return n
	}
	if count() != 1 {
		t.Error("a running write is not reported")
	}
	p.Release(conn, true)
	if count() != 0 {
		t.Error("a finished write is reported")
	}
}

func TestEnforceLimitClosesSurplusConnections(t *testing.T) {
	p, server := newPool(t, 3)
	running := []*pool.Conn{acquire(t, p, newRequest("florists", testTimeout)), acquire(t, p, newRequest("florists", testTimeout))}
	p.Release(acquire(t, p, newRequest("florists", testTimeout)), true)
	p.EnforceLimit(2)
	if usage := p.Usage(); usage.Open != 2 || usage.Idle != 0 {
		t.Errorf("idle connections are not closed first: %+v", usage)
	}
	p.EnforceLimit(1)
	for end := time.Now().Add(testTimeout); server.Connections() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are still open", server.Connections())
		}
	}
	for _, conn := range running {
		p.Release(conn, false)
	}
}

func TestIdleConnectionIsReusedAfterExpiredDeadline(t *testing.T) {
	p, _ := newPool(t, 2)
	conn := acquire(t, p, newRequest("florists", testTimeout))
	if err := conn.SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	conn.LastResponse = time.Time{}
	p.Release(conn, true)
	again := acquire(t, p, newRequest("florists", testTimeout))
	defer p.Release(again, true)
	if again != conn {
		t.Error("a good connection was closed")
	}
}

type allEnded struct{}

func (allEnded) TermEnded(group.ID, group.Term) bool { return true }

func (allEnded) ServerLost(group.Server) bool { return true }

func TestRemovedServerKeepsPoolWhileTransactionsRun(t *testing.T) {
	_, server := newPool(t, 1)
	target := pool.Target{Service: "inventario-1", Server: "db-0", Address: netip.MustParseAddrPort(server.Address()), Limit: 1}
	set := pool.NewSet(netip.Addr{})
	set.Configure([]pool.Target{target})
	conn := acquire(t, set.Pool("db-0"), newRequest("florists", testTimeout))
	set.Configure(nil)
	p := set.Pool("db-0")
	if p == nil || p.Usage().Open != 1 || p.Available() {
		t.Fatal("the running transaction is not counted, or the pool accepts new ones")
	}
	set.AbandonStaleWrites(time.Now(), allEnded{})
	if _, err := conn.Reader.ReadByte(); err == nil {
		t.Error("the write was not abandoned")
	}
	p.Release(conn, false)
	set.Configure([]pool.Target{target})
	p = set.Pool("db-0")
	p.Release(acquire(t, p, newRequest("florists", testTimeout)), true)
	if usage := p.Usage(); usage.Open != 1 || usage.Idle != 1 {
		t.Errorf("after the server was added again: %+v", usage)
	}
	set.Configure(nil)
	if set.Pool("db-0") != nil {
		t.Error("a pool without transactions stays in the set")
	}
}
