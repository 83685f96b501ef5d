package caller_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/entry/internal/caller"
	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/entry/internal/positions"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/session"
)

const (
	testService   = "inventario-1"
	testWorkspace = "florists"
	testKey       = "lw-0f1e2d3c4b5a69788796a5b4c3d2e1f0"
	otherKey      = "lw-ffeeddccbbaa99887766554433221100"
	testTimeout   = 20 * time.Second
)

// fleet is three databases of one service, with a directory that takes the place of control.
type fleet struct {
	t             *testing.T
	databases     []*database.Server
	directory     *directory.Directory
	inventory     inventory.Inventory
	revision      inventory.Revision
	topologyCount uint64
	secret        []byte
	limits        caller.Limits
	// forwardAll makes entries forward every transaction to a home entry.
	forwardAll bool
	// stopHome stops the home entry.
	stopHome context.CancelFunc
	quota    caller.Quota
	waits    *executor.WaitRegistry
	// poolSize is the connection limit of each pool.
	poolSize int
}

func serverName(i int) group.Server { return group.Server(fmt.Sprintf("db-%d", i)) }

func newFleet(t *testing.T, change func(*database.Config)) *fleet {
	t.Helper()
	f := &fleet{t: t, directory: directory.New(), secret: []byte("0123456789abcdef0123456789abcdef"), poolSize: 4, waits: executor.NewWaitRegistry()}
	f.limits = caller.Limits{
		Callers: 1000, RequestBytes: 1 << 20, AnswerBytes: 64 << 10, RequestTimeout: 5 * time.Second, AnswerTimeout: 5 * time.Second,
		ConfirmTimeout: 5 * time.Second, IdleInTransaction: time.Minute, SlowCaller: 5 * time.Second, StartupTimeout: 5 * time.Second,
	}
	cfg := database.Config{Service: testService, DataCentre: "raquira", Connections: 20, Watch: []string{testKey, otherKey}}
	if change != nil {
		change(&cfg)
	}
	service, err := database.StartService(cfg, serverName(0), serverName(1), serverName(2))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = service.Close() })
	f.databases = service
	f.inventory = newInventory()
	f.directory.ExtendLease(time.Now().Add(time.Hour))
	f.applyInventory()
	f.publishTopology(1, serverName(0), serverName(1), serverName(2))
	return f
}

func keyHash(key string) string {
	hash := directory.HashKey([]byte(key))
	return "sha256:" + hex.EncodeToString(hash[:])
}

func newInventory() inventory.Inventory {
	inv := inventory.Inventory{
		Regions:   []inventory.Region{{Name: "andina", DataCentres: []inventory.DataCentre{"raquira"}}},
		Instances: []inventory.Instance{{Name: "entry-1", DataCentre: "raquira"}},
		Services:  []inventory.Service{{Name: testService, Slots: 3, Connections: 20}},
		Workspaces: []inventory.Workspace{
			{Name: testWorkspace, Rate: 1000, Burst: 1000, Weight: 1, Keys: []inventory.Key{{ID: "a", Hash: keyHash(testKey)}}},
			{Name: "stallholders", Rate: 1000, Burst: 1000, Weight: 1, Keys: []inventory.Key{{ID: "b", Hash: keyHash(otherKey)}}},
		},
		Routes: []inventory.Route{
			{Name: "lookup", Access: inventory.AccessRead, MaxStaleness: jsonc.Duration(time.Second)},
			{Name: "exact", Access: inventory.AccessRead},
			{Name: "order", Access: inventory.AccessWrite, Priority: inventory.PriorityHigh},
			{Name: "restock", Access: inventory.AccessWrite, Repeatable: true},
			{Name: "shelf", Access: inventory.AccessRead, MaxStaleness: jsonc.Duration(time.Second), OpenToAll: true},
		},
	}
	for i := range 3 {
		inv.Services[0].Databases = append(inv.Services[0].Databases, inventory.Database{Name: serverName(i), DataCentre: "raquira"})
	}
	return inv
}

// applyInventory applies the inventory to the directory under a new revision.
func (f *fleet) applyInventory() {
	current := f.inventory
	delta := inventory.Diff(0, nil, f.revision+1, &current)
	f.revision++
	f.directory.Apply(&delta, nil)
}

// publishTopology publishes a topology that assigns the primaries to the slots in turn.
func (f *fleet) publishTopology(term group.Term, primaries ...group.Server) {
	f.topologyCount++
	topology := protocol.Topology{Version: protocol.TopologyVersion{LeaderTerm: 1, Count: f.topologyCount}, Full: true}
	for slot := range group.Slot(3) {
		topology.Groups = append(topology.Groups, group.Configuration{
			Group: group.ID{Service: testService, Slot: slot}, Term: term, Primary: primaries[int(slot)%len(primaries)],
		})
	}
	for i, db := range f.databases {
		topology.Servers = append(topology.Servers, protocol.ServerState{
			Service: testService, Server: serverName(i), Address: db.Address(), Health: protocol.HealthLive,
		})
	}
	f.directory.Apply(nil, &topology)
}

// execMonitor executes one statement over a monitoring connection.
func (f *fleet) execMonitor(db int, sql string) {
	f.t.Helper()
	ctx := testContext(f.t)
	conn, err := pgconn.Connect(ctx, "postgres://lentilwind-monitor@"+f.databases[db].Address()+"/"+testService+"?sslmode=disable")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
		f.t.Fatal(err)
	}
}

// failOver makes another server the primary of slot 0, as control does: one that has received every write that a majority may have
// confirmed.
//
// Control chooses the member with the highest received position. Here the test chooses, so the member must catch up before the others are
// fenced.
func (f *fleet) failOver(term group.Term, primary int, followers ...int) {
	f.t.Helper()
	f.waitFor(testContext(f.t), func() bool { return f.receivedPosition(primary) >= f.maxReceivedPosition() })
	for _, db := range append(followers, primary) {
		f.execMonitor(db, fmt.Sprintf("SELECT lentilwind_fence(0, %d)", term))
	}
	status, _ := f.databases[primary].Status(0)
	f.execMonitor(primary, fmt.Sprintf("SELECT lentilwind_promote(0, %d, %d)", term, status.Received))
	for _, db := range followers {
		f.execMonitor(db, fmt.Sprintf("SELECT lentilwind_follow(0, %d, '%s')", term, f.databases[primary].Address()))
	}
}

// receivedPosition returns the last position that a database has received in slot 0.
func (f *fleet) receivedPosition(db int) group.Position {
	status, _ := f.databases[db].Status(0)
	return status.Received
}

func (f *fleet) maxReceivedPosition() group.Position {
	var most group.Position
	for db := range f.databases {
		most = max(most, f.receivedPosition(db))
	}
	return most
}

// testEntry is one entry of the fleet.
type testEntry struct {
	server *caller.Server
	pools  *pool.Set
	url    string
}

func (f *fleet) newEntry() *testEntry {
	f.t.Helper()
	signer, err := session.NewSigner(f.secret)
	if err != nil {
		f.t.Fatal(err)
	}
	recorder, err := events.Open("", "entry-1", &hlc.Clock{})
	if err != nil {
		f.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	tracker := positions.New(positions.Config{Directory: f.directory, DataCentre: "raquira", Log: logs.Discard()})
	e := &testEntry{pools: pool.NewSet(netip.Addr{})}
	f.configurePools(e.pools)
	e.server = caller.NewServer(caller.Config{
		Directory: f.directory, Positions: tracker, Executor: f.newExecutor(e.pools), Signer: signer, Quota: f.quota,
		PlainTextNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, Limits: f.limits, Events: recorder, Log: logs.Discard(),
	}, listener)
	e.url = "postgres://%s:%s@" + listener.Addr().String() + "/" + testService + "?sslmode=disable"
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- tracker.Run(ctx) }()
	go func() { done <- e.server.Serve(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				f.t.Error(err)
			}
		}
		e.pools.Configure(nil)
	})
	return e
}

// newExecutor returns an executor over the pools, or one that reaches them through a home entry.
func (f *fleet) newExecutor(pools *pool.Set) executor.Executor {
	local := executor.NewLocal(pools, f.waits)
	if !f.forwardAll {
		return local
	}
	authority, err := identity.NewAuthority("test", time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	home, sender := f.newEndpoint(authority, homeName), f.newEndpoint(authority, "entry-1")
	home.HandleStream(protocol.KindTransaction, executor.NewForwardServer(local).ServeStream)
	return executor.NewRouter(local, executor.NewRemote(sender, f.waits), fixedHomes{home.Address()})
}

const homeName = "entry-2"

type fixedHomes []netip.AddrPort

func (h fixedHomes) Homes(_ group.Server, dst []netip.AddrPort) ([]netip.AddrPort, bool) {
	return append(dst, h...), false
}

func (h fixedHomes) IsHome(group.Server) bool { return false }

func (f *fleet) newEndpoint(authority identity.KeyPair, name string) *link.Endpoint {
	f.t.Helper()
	signer, err := identity.LoadAuthority(authority)
	if err != nil {
		f.t.Fatal(err)
	}
	pair, err := signer.Issue(name, identity.RoleEntry, nil, time.Now(), time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	dir := f.t.TempDir()
	files := identity.Files{Authority: filepath.Join(dir, "a"), Certificate: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k")}
	for path, data := range map[string][]byte{files.Authority: authority.Certificate, files.Certificate: pair.Certificate, files.Key: pair.Key} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	source, err := identity.Load(files)
	if err != nil {
		f.t.Fatal(err)
	}
	endpoint, err := link.Listen(link.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: inventory.InstanceName(name), Incarnation: 1,
		Identity: source, Clock: &hlc.Clock{}, Log: logs.Discard(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if name == homeName {
		f.stopHome = cancel
	}
	done := make(chan error, 1)
	go func() { done <- endpoint.Serve(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	})
	return endpoint
}

func (f *fleet) configurePools(pools *pool.Set) {
	var targets []pool.Target
	for i, db := range f.databases {
		targets = append(targets, pool.Target{
			Service: testService, Server: serverName(i), Address: netip.MustParseAddrPort(db.Address()), Limit: f.poolSize,
		})
	}
	pools.Configure(targets)
}

// connect opens a connection with the default options of pgx.
func (e *testEntry) connect(t *testing.T, token string) *pgx.Conn {
	t.Helper()
	return e.connectAs(t, testWorkspace, testKey, token)
}

func (e *testEntry) connectAs(t *testing.T, workspace, key, token string) *pgx.Conn {
	t.Helper()
	cfg, err := pgx.ParseConfig(fmt.Sprintf(e.url, workspace, key))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		cfg.RuntimeParams[session.ParameterName] = token
	}
	conn, err := pgx.ConnectConfig(testContext(t), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
