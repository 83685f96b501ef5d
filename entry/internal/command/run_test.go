package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/entry/internal/command"
	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/settings"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	key         = "lw-0f1e2d3c4b5a69788796a5b4c3d2e1f0"
	testTimeout = 20 * time.Second
)

// fakeControl responds to an entry like a control leader, with a constant inventory.
type fakeControl struct {
	endpoint *link.Endpoint
	delta    inventory.Delta
	topology protocol.Topology

	mu      sync.Mutex
	budgets *placement.Leader
}

func (c *fakeControl) handleBudget(_ context.Context, _ identity.Peer, frame protocol.Frame) (any, error) {
	var request placement.Request
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply, fresh := c.budgets.Handle(time.Now(), &request)
	if !fresh {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "an old request"}
	}
	return reply, nil
}

func (c *fakeControl) handleRenew(ctx context.Context, _ identity.Peer, frame protocol.Frame) (any, error) {
	var request protocol.RenewRequest
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, err
	}
	reply := protocol.RenewReply{LeaseDuration: 3 * time.Second, Revision: 1}
	if request.Inventory == 0 {
		reply.Delta, reply.Topology = &c.delta, &c.topology
		return reply, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(request.Wait):
	}
	return reply, nil
}

func handleDraw(_ context.Context, _ identity.Peer, frame protocol.Frame) (any, error) {
	var request protocol.DrawRequest
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, err
	}
	var reply protocol.DrawReply
	for _, d := range request.Draws {
		reply.Grants = append(reply.Grants, protocol.Grant{Workspace: d.Workspace, Granted: d.Want})
	}
	return reply, nil
}

func writeFiles(t *testing.T, files map[string][]byte) {
	t.Helper()
	for path, data := range files {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func issueIdentity(t *testing.T, authority identity.KeyPair, dir, name string, role identity.Role) identity.Files {
	t.Helper()
	signer, err := identity.LoadAuthority(authority)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := signer.Issue(name, role, nil, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	files := identity.Files{
		Authority: filepath.Join(dir, "authority.pem"), Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"),
	}
	writeFiles(t, map[string][]byte{files.Authority: authority.Certificate, files.Certificate: pair.Certificate, files.Key: pair.Key})
	return files
}

func startControl(t *testing.T, files identity.Files, databases database.Service) *fakeControl {
	t.Helper()
	source, err := identity.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeControl{}
	c.endpoint, err = link.Listen(link.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: "control-1", Incarnation: 1, Identity: source, Clock: &hlc.Clock{}, Log: logs.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	hash := directory.HashKey([]byte(key))
	inv := inventory.Inventory{
		Regions:    []inventory.Region{{Name: "andina", DataCentres: []inventory.DataCentre{"raquira"}}},
		Instances:  []inventory.Instance{{Name: "entry-1", DataCentre: "raquira"}},
		Services:   []inventory.Service{{Name: "inventario-1", Slots: 3, Connections: 20}},
		Workspaces: []inventory.Workspace{{Name: "florists", Rate: 100, Burst: 100, Weight: 1, Keys: []inventory.Key{{ID: "a", Hash: fmt.Sprintf("sha256:%x", hash)}}}},
	}
	c.topology = protocol.Topology{Version: protocol.TopologyVersion{LeaderTerm: 1, Count: 1}, Full: true}
	c.topology.Entries = []protocol.EntryState{{Name: "entry-1", DataCentre: "raquira", Address: "127.0.0.1:1", Health: protocol.HealthLive}}
	for i, db := range databases {
		name := group.Server(fmt.Sprintf("db-%d", i))
		inv.Services[0].Databases = append(inv.Services[0].Databases, inventory.Database{Name: name, DataCentre: "raquira"})
		c.topology.Servers = append(c.topology.Servers, protocol.ServerState{
			Service: "inventario-1", Server: name, Address: db.Address(), Health: protocol.HealthLive,
		})
		c.topology.Groups = append(c.topology.Groups, group.Configuration{
			Group: group.ID{Service: "inventario-1", Slot: group.Slot(i)}, Term: 1, Primary: name,
		})
	}
	c.delta = inventory.Diff(0, nil, 1, &inv)
	c.endpoint.Handle(protocol.KindRenew, c.handleRenew)
	c.endpoint.Handle(protocol.KindDraw, handleDraw)
	c.endpoint.Handle(protocol.KindBudget, c.handleBudget)
	c.budgets = placement.NewLeader(placement.DefaultSettings(), time.Now(), true)
	c.budgets.SetEntries([]placement.Entry{{Name: "entry-1", DataCentre: "raquira", Region: "andina"}})
	var budgetDatabases []placement.Database
	for _, db := range inv.Services[0].Databases {
		budgetDatabases = append(budgetDatabases, placement.Database{
			ID: group.ServerID{Service: "inventario-1", Server: db.Name}, DataCentre: "raquira", Region: "andina", Connections: 20,
		})
	}
	c.budgets.SetDatabases(budgetDatabases)
	serve(t, c.endpoint)
	return c
}

func serve(t *testing.T, e *link.Endpoint) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what + " not reached in time")
		}
	}
}

func TestRunServesCallersAndDrainsTransactions(t *testing.T) {
	for _, budgets := range []settings.BudgetSource{settings.BudgetSourceInventory, settings.BudgetSourceLeased} {
		t.Run(string(budgets), func(t *testing.T) { testRun(t, budgets) })
	}
}

func testRun(t *testing.T, budgets settings.BudgetSource) {
	t.Helper()
	databases, err := database.StartService(database.Config{Service: "inventario-1", DataCentre: "raquira", Watch: []string{key}}, "db-0", "db-1", "db-2")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = databases.Close() })
	authority, err := identity.NewAuthority("test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	c := startControl(t, issueIdentity(t, authority, dir, "control-1", identity.RoleControl), databases)
	callers, web := freeAddress(t), freeAddress(t)
	text, err := json.Marshal(map[string]any{
		"name": "entry-1", "dataCentre": "raquira", "control": []string{c.endpoint.Address().String()},
		"listen":   map[string]string{"callers": callers, "peers": "127.0.0.1:0", "http": web},
		"identity": issueIdentity(t, authority, dir, "entry-1", identity.RoleEntry), "sessionSecretFile": "secret",
		"budgets": budgets, "eventsFile": "events.jsonl", "stop": map[string]string{"unreadyFor": "100ms", "deadline": "10s"},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "settings.jsonc")
	writeFiles(t, map[string][]byte{file: text, filepath.Join(dir, "secret"): []byte("0123456789abcdef0123456789abcdef\n")})

	var log bytes.Buffer
	root := command.New()
	root.SetArgs([]string{"run", "--settings", file})
	root.SetErr(&log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- root.ExecuteContext(ctx) }()
	waitFor(t, "readiness", func() bool { return status("http://"+web+"/readyz") == http.StatusOK })

	clientCtx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	// No plain-text network is configured, so keys are accepted over TLS only.
	if _, err := pgx.Connect(clientCtx, "postgres://florists:"+key+"@"+callers+"/inventario-1?sslmode=disable"); err == nil {
		t.Error("a key was accepted in plain text")
	}
	conn, err := pgx.Connect(clientCtx, "postgres://florists:"+key+"@"+callers+"/inventario-1?sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	tx, err := conn.Begin(clientCtx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(clientCtx, "INSERT INTO stock (key, value) VALUES ($1, $2)", "a", 1); err != nil {
		t.Fatal(err)
	}
	stop()
	waitFor(t, "the end of readiness", func() bool { return status("http://"+web+"/readyz") != http.StatusOK })
	if err := tx.Commit(clientCtx); err != nil {
		t.Errorf("commit while draining: %v", err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	recorded, err := os.ReadFile(filepath.Join(dir, "events.jsonl"))
	if err != nil || !strings.Contains(string(recorded), "processStopped") || strings.Contains(string(recorded)+log.String(), key) {
		t.Errorf("events %s, %v; log %s", recorded, err, log.String())
	}
	for _, db := range databases {
		if db.HasReceived(key) {
			t.Error("a database received the key")
		}
	}
}

func TestCheckConfigReportsAllProblems(t *testing.T) {
	root := command.New()
	root.SetArgs([]string{"check-config", "../../sample-settings.jsonc"})
	root.SetOut(&bytes.Buffer{})
	if err := root.Execute(); err != nil {
		t.Error(err)
	}
	file := filepath.Join(t.TempDir(), "bad.jsonc")
	writeFiles(t, map[string][]byte{file: []byte("{\n  \"colour\": 1\n}")})
	root.SetArgs([]string{"check-config", file})
	if err := root.Execute(); err == nil || !strings.Contains(err.Error(), "line 2") || !strings.Contains(err.Error(), "/name") {
		t.Errorf("got %v", err)
	}
}
