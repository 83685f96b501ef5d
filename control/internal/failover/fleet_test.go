package failover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/relay"
	"lentilwind.dev/control/internal/failover"
	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/control/internal/roster"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/timer"
	"lentilwind.dev/lentilwind/affinity"
	"lentilwind.dev/lentilwind/catalog"
	corefailover "lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/protocol"
	coreroster "lentilwind.dev/lentilwind/roster"
)

const (
	service     = group.Service("inventario-1")
	testTimeout = 60 * time.Second
)

var (
	serverNames = []group.Server{"inv1-a", "inv1-b", "inv1-c"}
	slot0       = group.ID{Service: service}
)

// process is one control process.
type process struct {
	ledger   *ledger
	roster   *roster.Service
	failover *failover.Service
	monitor  *monitor.Monitor
}

// node is a simulated database behind a relay that can cut it off.
type node struct {
	server  *database.Server
	network *relay.Network
	relay   *relay.TCP
	address netip.AddrPort
	target  netip.AddrPort
}

// fleet is one service, its control processes and an entry in each of three data centres.
type fleet struct {
	t         testing.TB
	ctx       context.Context
	store     *store
	detector  corefailover.DetectorConfig
	processes []*process
	nodes     map[group.Server]*node

	mu        sync.Mutex
	cutOff    map[group.Server]bool
	announced int

	stopOnce sync.Once
	cleanups []func()
}

// cleanup registers a function that stop runs, the last one first.
func (f *fleet) cleanup(run func()) { f.cleanups = append(f.cleanups, run) }

// stop ends everything that the fleet has started.
func (f *fleet) stop() {
	f.stopOnce.Do(func() {
		for _, run := range slices.Backward(f.cleanups) {
			run()
		}
	})
}

func inventoryDocument() string {
	var databases, instances []string
	for i, name := range serverNames {
		databases = append(databases, fmt.Sprintf(`{"name": %q, "dataCentre": "dc%d"}`, name, i+1))
		instances = append(instances, fmt.Sprintf(`{"name": "entry-%d", "dataCentre": "dc%d"}`, i+1, i+1))
	}
	return fmt.Sprintf(`{"regions": [{"name": "andina", "dataCentres": ["dc1", "dc2", "dc3"]}],
		"instances": [%s], "services": [{"name": %q, "slots": 3, "connections": 20, "databases": [%s]}]}`,
		strings.Join(instances, ","), service, strings.Join(databases, ","))
}

func startFleet(t testing.TB, processes int) *fleet {
	t.Helper()
	return startFleetWith(t, processes, corefailover.DefaultDetectorConfig())
}

func startFleetWith(t testing.TB, processes int, detector corefailover.DetectorConfig) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f := &fleet{t: t, ctx: ctx, detector: detector, store: newStore(), nodes: map[group.Server]*node{}, cutOff: map[group.Server]bool{}}
	t.Cleanup(f.stop)
	g, runCtx := errgroup.WithContext(ctx)
	for range processes {
		f.startProcess(runCtx, g)
	}
	f.store.setLeader(f.processes[0].ledger)
	document := catalog.ApplyInventory{Operation: "1", Document: inventoryDocument()}
	if result, err := f.processes[0].ledger.Propose(ctx, catalog.Command{ApplyInventory: &document}); err != nil || result.Outcome != catalog.OutcomeAccepted {
		t.Fatal(result, err)
	}
	f.startDatabases()
	f.startEntries(runCtx, g)
	f.cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func (f *fleet) startProcess(ctx context.Context, g *errgroup.Group) {
	recorder, err := events.Open("", "control", &hlc.Clock{})
	if err != nil {
		f.t.Fatal(err)
	}
	p := &process{ledger: &ledger{f.store}, roster: roster.New(coreroster.DefaultConfig())}
	timers, databases := timer.NewService(), monitor.New(monitor.DefaultConfig())
	s := failover.New(failover.Config{
		Ledger: p.ledger, Roster: p.roster, Monitor: databases, Timer: timers, Events: recorder,
		Log:      &log.Logger{Level: log.PanicLevel},
		Group:    corefailover.DefaultConfig(),
		Detector: f.detector,
		Affinity: affinity.DefaultConfig(),
	})
	g.Go(func() error { return timers.Run(ctx) })
	g.Go(func() error {
		defer databases.Close()
		return s.Run(ctx)
	})
	p.failover, p.monitor = s, databases
	f.processes = append(f.processes, p)
}

func (f *fleet) startDatabases() {
	announcements := httptest.NewServer(http.HandlerFunc(f.announce))
	f.cleanup(announcements.Close)
	servers, err := database.StartService(database.Config{Service: service, Announce: []string{announcements.URL}}, serverNames...)
	if err != nil {
		f.t.Fatal(err)
	}
	f.cleanup(func() { f.closeRelays() })
	f.cleanup(func() { _ = servers.Close() })
	for i, name := range serverNames {
		n := &node{server: servers[i], network: relay.NewNetwork(func(netip.Addr) relay.Zone { return "" })}
		n.target = netip.MustParseAddrPort(servers[i].Address())
		n.address = freeAddress(f.t)
		f.mu.Lock()
		f.nodes[name] = n
		f.mu.Unlock()
		f.open(n)
	}
}

// closeRelays closes the relays after the databases, so that no new connection blocks them.
func (f *fleet) closeRelays() {
	for _, n := range f.nodes {
		n.network.Heal()
		_ = n.relay.Close()
	}
}

// freeAddress returns an unused loopback address.
func freeAddress(t testing.TB) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (f *fleet) open(n *node) {
	tcp, err := relay.ListenTCP(n.network, n.address, n.target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n.relay = tcp
}

// announce forwards an announcement to the leader, with the relay's address.
func (f *fleet) announce(w http.ResponseWriter, r *http.Request) {
	var a protocol.Announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.announced++
	cutOff, n := f.cutOff[a.Server], f.nodes[a.Server]
	if n != nil {
		a.Address = n.address.String()
	}
	f.mu.Unlock()
	if cutOff || n == nil {
		http.Error(w, "cut off", http.StatusServiceUnavailable)
		return
	}
	for _, p := range f.processes {
		if reply, err := p.roster.Announce(time.Now(), a); err == nil {
			_ = json.NewEncoder(w).Encode(reply)
			return
		}
	}
	http.Error(w, "no leader", http.StatusServiceUnavailable)
}

// kill stops a server, so that its port refuses connections.
func (f *fleet) kill(name group.Server) {
	n := f.nodes[name]
	if err := n.server.Crash(); err != nil {
		f.t.Error(err)
	}
	_ = n.relay.Close()
}

// setCutOff cuts a running server off in both directions, or reconnects it.
func (f *fleet) setCutOff(name group.Server, cut bool) {
	f.mu.Lock()
	f.cutOff[name] = cut
	f.mu.Unlock()
	f.nodes[name].network.SetFault("", "", relay.Fault{Partitioned: cut})
}

// topology returns the latest configuration of the first group that the leader publishes.
func (f *fleet) topology() group.Configuration {
	for _, p := range f.processes {
		if topology := p.roster.Topology(protocol.TopologyVersion{}); topology != nil {
			for _, configuration := range topology.Groups {
				if configuration.Group == slot0 {
					return configuration
				}
			}
		}
	}
	return group.Configuration{}
}

// await polls until a condition holds.
func (f *fleet) await(condition string, holds func() bool) {
	f.t.Helper()
	for !holds() {
		select {
		case <-f.ctx.Done():
			f.t.Fatalf("timed out waiting for: %s", condition)
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// awaitPrimary waits for a published primary in a term above the given one and returns its configuration.
func (f *fleet) awaitPrimary(above group.Term) group.Configuration {
	f.t.Helper()
	var found group.Configuration
	f.await("a primary", func() bool {
		found = f.topology()
		return found.Term > above && found.Primary != ""
	})
	return found
}

// awaitFollowers waits until every member has received as much as the primary in its term.
func (f *fleet) awaitFollowers() {
	f.t.Helper()
	f.await("all members follow", func() bool {
		configuration := f.topology()
		if configuration.Primary == "" {
			return false
		}
		primary, _ := f.nodes[configuration.Primary].server.Status(0)
		for _, n := range f.nodes {
			status, running := n.server.Status(0)
			if !running || status.Term != configuration.Term || status.Received != primary.Received {
				return false
			}
		}
		return primary.Role == group.RolePrimary
	})
}

// countSilentServers returns how many servers are considered silent.
func (f *fleet) countSilentServers() int {
	silent := 0
	for _, server := range f.processes[0].roster.Servers() {
		if server.Health == protocol.HealthSilent {
			silent++
		}
	}
	return silent
}
