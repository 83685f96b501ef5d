package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lentilwind.dev/bench/relay"
	"lentilwind.dev/control/internal/command"
	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// awaitTimeout limits every wait for a condition.
const awaitTimeout = 30 * time.Second

// fleet is a set of control processes with the certificates, relays and client that tests use to reach them.
type fleet struct {
	t testing.TB
	// countsPackets means that the benchmark forwards the packets itself, so that no relays are started.
	countsPackets bool
	dir           string
	authority     *identity.Authority
	subnet        int
	members       []settings.Member
	running       map[int]*controlProcess
	network       *relay.Network
	relays        []*relay.UDP
	http          *http.Client
}

// controlProcess is a running control process: another process of this test program.
type controlProcess struct {
	process *os.Process
	done    chan error
}

// settingsEnv is the environment variable with the settings file; if it is set, the test program runs a control process.
const settingsEnv = "LENTIL_CONTROL_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsEnv); path != "" {
		os.Exit(command.Execute([]string{"run", "--settings", path}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// lastSubnet is the number of the last fleet that was created; each fleet has its own loopback network.
var lastSubnet atomic.Int64

func newFleet(t testing.TB, members int) *fleet {
	t.Helper()
	root, err := identity.NewAuthority("test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	authority, err := identity.LoadAuthority(root)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t: t, dir: t.TempDir(), authority: authority, subnet: int(lastSubnet.Add(1)), running: map[int]*controlProcess{},
		network: relay.NewNetwork(func(address netip.Addr) relay.Zone { return relay.Zone(address.String()) }),
	}
	if err := os.WriteFile(filepath.Join(f.dir, "authority.pem"), root.Certificate, 0o600); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= members; i++ {
		f.members = append(f.members, settings.Member{Name: f.name(i), Address: f.addRelay(i)})
	}
	operator, err := identity.Load(f.issue("operator", identity.RoleOperator))
	if err != nil {
		t.Fatal(err)
	}
	f.http = &http.Client{Transport: &http.Transport{TLSClientConfig: operator.Client("http/1.1")}, Timeout: 5 * time.Second}
	t.Cleanup(func() {
		for i := range f.running {
			f.stop(i)
		}
		for _, r := range f.relays {
			_ = r.Close()
		}
	})
	return f
}

// addRelay starts a relay to a process at the address that the other members dial.
func (f *fleet) addRelay(i int) string {
	f.t.Helper()
	public := netip.MustParseAddrPort(f.address(i, 7102))
	r, err := relay.ListenUDP(f.network, public, netip.MustParseAddrPort(f.address(i, 7101)))
	if err != nil {
		f.t.Fatal(err)
	}
	f.relays = append(f.relays, r)
	return public.String()
}

// isolate drops all packets between a process and the others.
func (f *fleet) isolate(i int) {
	zone := func(i int) relay.Zone { return relay.Zone(netip.MustParseAddrPort(f.address(i, 7101)).Addr().String()) }
	for j := 1; j <= len(f.relays); j++ {
		if j != i {
			f.network.SetFault(zone(i), zone(j), relay.Fault{Partitioned: true})
		}
	}
}

func (f *fleet) name(i int) inventory.InstanceName {
	return inventory.InstanceName(fmt.Sprintf("control-%d", i))
}

// address returns an address on the loopback network of this test process and fleet.
func (f *fleet) address(host, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+pid%200, (pid/200+f.subnet)%250+1, host, port)
}

func (f *fleet) issue(name string, role identity.Role) identity.Files {
	f.t.Helper()
	pair, err := f.authority.Issue(name, role, nil, time.Now(), time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	files := identity.Files{
		Authority:   filepath.Join(f.dir, "authority.pem"),
		Certificate: filepath.Join(f.dir, name+".pem"),
		Key:         filepath.Join(f.dir, name+"-key.pem"),
	}
	for path, data := range map[string][]byte{files.Certificate: pair.Certificate, files.Key: pair.Key} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	return files
}

func (f *fleet) settings(i int) *settings.Settings {
	s := &settings.Settings{
		Name: f.name(i), DataCentre: "raquira", Members: f.members, LogLevel: "error",
		Advertise:  settings.Advertise{Peers: f.address(i, 7102)},
		Listen:     settings.Listen{Peers: f.address(i, 7101), Operators: f.address(i, 7201), HTTP: f.address(i, 7301)},
		DataFolder: filepath.Join(f.dir, string(f.name(i))), EventsFile: filepath.Join(f.dir, string(f.name(i))+".events"),
		Identity: f.issue(string(f.name(i)), identity.RoleControl),
	}
	if i > len(f.members) {
		s.Members = nil
	}
	for !f.countsPackets && len(f.relays) < i {
		f.addRelay(len(f.relays) + 1)
	}
	return s
}

func (f *fleet) start(hosts ...int) {
	f.t.Helper()
	for _, i := range hosts {
		data, err := json.Marshal(f.settings(i))
		if err != nil {
			f.t.Fatal(err)
		}
		path := filepath.Join(f.dir, string(f.name(i))+".jsonc")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			f.t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), settingsEnv+"="+path)
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			f.t.Fatal(err)
		}
		r := &controlProcess{process: cmd.Process, done: make(chan error, 1)}
		go func() { r.done <- cmd.Wait() }()
		f.running[i] = r
	}
}

func (f *fleet) signal(i int, signal os.Signal) {
	f.t.Helper()
	if err := f.running[i].process.Signal(signal); err != nil {
		f.t.Errorf("%s: %v", f.name(i), err)
	}
}

// stop terminates a process gracefully.
func (f *fleet) stop(i int) {
	f.t.Helper()
	if err := f.terminate(i, syscall.SIGTERM); err != nil {
		f.t.Errorf("%s: %v", f.name(i), err)
	}
}

func (f *fleet) kill(i int) {
	f.t.Helper()
	_ = f.terminate(i, syscall.SIGKILL)
}

func (f *fleet) terminate(i int, signal os.Signal) error {
	f.t.Helper()
	r := f.running[i]
	delete(f.running, i)
	_ = r.process.Signal(signal)
	select {
	case err := <-r.done:
		return err
	case <-time.After(awaitTimeout):
		return errors.Join(errors.New("the process did not stop in time"), r.process.Kill())
	}
}

// leader returns the number of the leading process.
func (f *fleet) leader() int {
	f.t.Helper()
	i, err := f.callLeader(http.MethodGet, "/v1/status", nil, &protocol.FleetStatus{})
	if err != nil {
		f.t.Fatal(err)
	}
	return i
}

// call sends an operator's request to a process; a refusal is returned as a *protocol.OperatorError.
func (f *fleet) call(i int, method, path string, body, answer any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "https://"+f.address(i, 7201)+path, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	response, err := f.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		refused := &protocol.OperatorError{}
		if err := json.Unmarshal(data, refused); err != nil {
			return fmt.Errorf("status %d: %s", response.StatusCode, data)
		}
		return refused
	}
	if raw, ok := answer.(*[]byte); ok {
		*raw = data
		return nil
	}
	return json.Unmarshal(data, answer)
}

// callLeader sends a request to each running process in turn until one answers as the leader, and returns its number.
func (f *fleet) callLeader(method, path string, body, answer any) (int, error) {
	f.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	var last error
	for time.Now().Before(deadline) {
		for i := range f.running {
			err := f.call(i, method, path, body, answer)
			var refused *protocol.OperatorError
			switch {
			case err == nil:
				return i, nil
			case errors.As(err, &refused) && refused.Code != protocol.ErrorNotLeader && refused.Code != protocol.ErrorUnavailable:
				return i, err
			}
			last = err
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("no leader answered %s %s: %v", method, path, last)
	return 0, nil
}

func (f *fleet) apply(operation string, base inventory.Revision, document string) (protocol.InventoryRecord, error) {
	f.t.Helper()
	var record protocol.InventoryRecord
	_, err := f.callLeader(http.MethodPost, "/v1/inventory", protocol.ApplyInventory{
		Operation: protocol.OperationID(operation), Base: base, Document: document,
	}, &record)
	return record, err
}

func (f *fleet) status() protocol.FleetStatus {
	f.t.Helper()
	var status protocol.FleetStatus
	if _, err := f.callLeader(http.MethodGet, "/v1/status", nil, &status); err != nil {
		f.t.Fatal(err)
	}
	return status
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// document returns an inventory with one entry and one workspace; documents with different numbers differ.
func document(number int) string {
	return fmt.Sprintf(`{
  // Number %d.
  "regions": [{"name": "andina", "dataCentres": ["raquira"]}],
  "instances": [{"name": "entry-1", "dataCentre": "raquira"}],
  "services": [], "routes": [],
  "workspaces": [{"name": "w1", "rate": %d, "burst": 20, "keys": []}],
}`, number, number+1)
}

// endpoint opens the endpoint of an entry for the fleet's internal protocol.
func (f *fleet) endpoint(name string) *link.Endpoint {
	f.t.Helper()
	source, err := identity.Load(f.issue(name, identity.RoleEntry))
	if err != nil {
		f.t.Fatal(err)
	}
	e, err := link.Listen(link.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Name: inventory.InstanceName(name), Incarnation: 1,
		Identity: source, Clock: &hlc.Clock{}, Log: logs.Discard(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	})
	return e
}

// renew sends a lease renewal to a process.
func (f *fleet) renew(e *link.Endpoint, i int, name string, applied inventory.Revision, wait time.Duration) (protocol.RenewReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply protocol.RenewReply
	err := e.Call(ctx, netip.MustParseAddrPort(f.address(i, 7101)), protocol.KindRenew, protocol.RenewRequest{
		Entries: []protocol.EntryReport{{
			Name: inventory.InstanceName(name), Incarnation: 1, DataCentre: "raquira", Address: "127.0.0.1:1", Applied: applied,
		}},
		Inventory: applied, Wait: wait,
	}, &reply)
	return reply, err
}

func readAll(response *http.Response) string {
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}
