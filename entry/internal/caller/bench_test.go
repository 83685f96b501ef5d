package caller_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/entry/internal/caller"
	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"
	"lentilwind.dev/lentilwind/session"
)

// fakeBackend answers each message with prepared bytes and without allocations.
type fakeBackend struct {
	ready, set, query, parse, bind, describe, execute []byte
}

func newFakeBackend() *fakeBackend {
	status := group.Status{Role: group.RoleReplica, Term: 1, FencedTerm: 1, Received: 10, Applied: 10}.String()
	position := message('S', "lentilwind.position\x00"+status+"\x00")
	ready := message('Z', "I")
	tag := message('C', "SET\x00")
	row := message('D', "\x00\x01\x00\x00\x00\x02ab")
	description := message('T', "\x00\x01value\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	selected := message('C', "SELECT 1\x00")
	return &fakeBackend{
		ready: concat(position, ready), set: concat(tag, tag, tag, tag, position, ready),
		query: concat(description, row, selected, position, ready),
		parse: message('1', ""), bind: message('2', ""), describe: description, execute: concat(row, selected),
	}
}

func message(kind byte, body string) []byte {
	return append(relay.AppendHeader(nil, relay.Kind(kind), len(body)), body...)
}

func concat(parts ...[]byte) []byte {
	var all []byte
	for _, part := range parts {
		all = append(all, part...)
	}
	return all
}

func (e *fakeBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReaderSize(conn, 16<<10)
	var length [4]byte
	if _, err := r.Read(length[:]); err != nil {
		return
	}
	if _, err := r.Discard(int(binary.BigEndian.Uint32(length[:])) - 4); err != nil {
		return
	}
	out := concat(message('R', "\x00\x00\x00\x00"), message('K', "\x00\x00\x00\x01abcd"), message('Z', "I"))
	for {
		if r.Buffered() == 0 {
			if _, err := conn.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
		kind, size, err := relay.ReadHeader(r)
		if err != nil {
			return
		}
		first, _ := r.Peek(min(1, size))
		out = e.answer(out, kind, first)
		if _, err := r.Discard(size); err != nil {
			return
		}
	}
}

func (e *fakeBackend) answer(out []byte, kind relay.Kind, first []byte) []byte {
	switch kind {
	case relay.KindQuery:
		if first[0] == 'S' {
			return append(out, e.set...)
		}
		return append(out, e.query...)
	case relay.KindParse:
		return append(out, e.parse...)
	case relay.KindBind:
		return append(out, e.bind...)
	case relay.KindDescribe:
		return append(out, e.describe...)
	case relay.KindExecute:
		return append(out, e.execute...)
	case relay.KindSync:
		return append(out, e.ready...)
	}
	return out
}

// fixedPositions reports the first server as a replica without lag.
type fixedPositions struct{}

func (fixedPositions) FillView(_ group.ID, view *route.View) bool {
	now := time.Now()
	view.Term, view.Primary, view.TermConfirmedAt = 1, "db-1", now
	status := group.Status{Role: group.RoleReplica, Term: 1, FencedTerm: 1, Received: 10, Applied: 10}
	view.Members = append(view.Members[:0], route.Member{Server: "db-0", Usable: true, Sample: confirm.StatusSample{Status: status, SentAt: now}})
	return true
}
func (fixedPositions) Changed(group.ID) <-chan struct{} { return nil }

func (fixedPositions) Observe(group.Service, group.Server, group.Status, time.Time) {}

func (fixedPositions) Confirm(context.Context, group.ID, group.Term, group.Position) error {
	return nil
}

func (fixedPositions) ConfirmCurrent(context.Context, group.ID, group.Term, group.Position, time.Time) error {
	return nil
}

func (fixedPositions) SessionFloor(context.Context, group.ID, time.Time) (group.Floor, error) {
	return group.Floor{Term: 1}, nil
}

// newBenchEntry starts an entry in front of a fakeBackend and returns the addresses of both.
func newBenchEntry(b *testing.B, connections int) (address, database string) {
	b.Helper()
	databases, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = databases.Close() })
	e := newFakeBackend()
	go func() {
		for {
			conn, err := databases.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	d := directory.New()
	inv := newInventory()
	delta := inventory.Diff(0, nil, 1, &inv)
	topology := protocol.Topology{Version: protocol.TopologyVersion{LeaderTerm: 1, Count: 1}, Full: true}
	topology.Groups = append(topology.Groups, group.Configuration{Group: group.ID{Service: testService}, Term: 1, Primary: serverName(0)})
	topology.Servers = append(topology.Servers, protocol.ServerState{
		Service: testService, Server: serverName(0), Address: databases.Addr().String(), Health: protocol.HealthLive,
	})
	d.Apply(&delta, &topology)
	d.ExtendLease(time.Now().Add(time.Hour))
	pools := pool.NewSet(netip.Addr{})
	pools.Configure([]pool.Target{{
		Service: testService, Server: serverName(0), Address: netip.MustParseAddrPort(databases.Addr().String()), Limit: connections,
	}})
	signer, err := session.NewSigner([]byte("0123456789abcdef0123456789abcdef"))
	if err != nil {
		b.Fatal(err)
	}
	recorder, _ := events.Open("", "entry-1", &hlc.Clock{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := caller.NewServer(caller.Config{
		Directory: d, Positions: fixedPositions{}, Executor: executor.NewLocal(pools, executor.NewWaitRegistry()), Signer: signer,
		PlainTextNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, Events: recorder, Log: logs.Discard(),
		Limits: caller.Limits{
			Callers: 1000, RequestBytes: 1 << 20, AnswerBytes: 64 << 10, RequestTimeout: 5 * time.Second, AnswerTimeout: 5 * time.Second,
			ConfirmTimeout: 5 * time.Second, IdleInTransaction: time.Minute, SlowCaller: 5 * time.Second, StartupTimeout: 5 * time.Second,
		},
	}, listener)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
		pools.Configure(nil)
	})
	return listener.Addr().String(), databases.Addr().String()
}

// rawClient sends one batch repeatedly and reads the answers without allocations.
type rawClient struct {
	conn  net.Conn
	r     *bufio.Reader
	batch []byte
}

func newRawClient(b *testing.B, address, sql string, extended bool) *rawClient {
	b.Helper()
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", testWorkspace, testKey, address, testService)
	conn, err := pgx.Connect(context.Background(), url)
	if err != nil {
		b.Fatal(err)
	}
	hijacked, err := conn.PgConn().Hijack()
	if err != nil {
		b.Fatal(err)
	}
	raw := hijacked.Conn
	b.Cleanup(func() { _ = raw.Close() })
	c := &rawClient{conn: raw, r: bufio.NewReaderSize(hijacked.Conn, 16<<10)}
	if !extended {
		c.batch = message('Q', sql+"\x00")
		return c
	}
	c.batch = concat(message('P', "s1\x00"+sql+"\x00\x00\x00"), message('S', ""))
	c.exchange(b)
	c.batch = concat(message('B', "\x00s1\x00\x00\x00\x00\x00\x00\x00"), message('D', "P\x00"), message('E', "\x00\x00\x00\x00\x00"), message('S', ""))
	return c
}

func (c *rawClient) exchange(b *testing.B) {
	if _, err := c.conn.Write(c.batch); err != nil {
		b.Fatal(err)
	}
	for {
		kind, size, err := relay.ReadHeader(c.r)
		if err != nil {
			b.Fatal(err)
		}
		if kind == relay.KindErrorResponse {
			body, _ := relay.AppendBody(nil, c.r, size)
			b.Fatal(relay.DecodeError(body))
		}
		if _, err := c.r.Discard(size); err != nil {
			b.Fatal(err)
		}
		if kind == relay.KindReadyForQuery {
			return
		}
	}
}

func BenchmarkStatement(b *testing.B) {
	address, direct := newBenchEntry(b, 16)
	for _, bench := range []struct {
		name, address, sql string
		extended           bool
	}{
		{"readExtended", address, "/*route='lookup'*/ SELECT value FROM stock", true},
		{"readSimple", address, "/*route='lookup'*/ SELECT value FROM stock", false},
		{"writeExtended", address, "/*route='order'*/ INSERT INTO stock", true},
		{"directExtended", direct, "SELECT value FROM stock", true},
	} {
		b.Run(bench.name, func(b *testing.B) {
			c := newRawClient(b, bench.address, bench.sql, bench.extended)
			c.exchange(b)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.exchange(b)
			}
		})
	}
}

func BenchmarkParallelStatement(b *testing.B) {
	address, direct := newBenchEntry(b, 64)
	for name, to := range map[string]string{"entry": address, "direct": direct} {
		b.Run(name, func(b *testing.B) {
			b.SetParallelism(8)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				c := newRawClient(b, to, "/*route='lookup'*/ SELECT value FROM stock", true)
				for pb.Next() {
					c.exchange(b)
				}
			})
		})
	}
}

// BenchmarkIdleCallers measures the memory of an idle caller that has run a statement. The client side is a plain socket.
func BenchmarkIdleCallers(b *testing.B) {
	address, _ := newBenchEntry(b, 4)
	const callers = 900
	for range b.N {
		before := memoryInUse()
		conns := make([]net.Conn, 0, callers)
		for range callers {
			c := newRawClient(b, address, "/*route='lookup'*/ SELECT value FROM stock", true)
			c.exchange(b)
			conns = append(conns, c.conn)
		}
		b.ReportMetric(float64(memoryInUse()-before)/callers, "B/caller")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
