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

// awaitLimit bounds every wait for an event.
const awaitLimit = 30 * time.Second

// fleet is a set of control processes with what operators and entries need to talk to them.
type fleet struct {
	t testing.TB
	// counted means that the benchmark forwards the packets itself.
	counted   bool
	dir       string
	authority *identity.Authority
	block     int
	members   []settings.Member
	running   map[int]*running
	network   *relay.Network
	relays    []*relay.UDP
	http      *http.Client
}

// running is one control process: this test program, started again.
type running struct {
	process *os.Process
	done    chan error
}

// programEnv holds the settings file of a control process that the test program is to run.
const programEnv = "LENTIL_CONTROL_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(programEnv); path != "" {
		os.Exit(command.Execute([]string{"run", "--settings", path}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

var blocks atomic.Int64

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
		t: t, dir: t.TempDir(), authority: authority, block: int(blocks.Add(1)), running: map[int]*running{},
		network: relay.NewNetwork(func(address netip.Addr) relay.Zone { return relay.Zone(address.String()) }),
	}
	if err := os.WriteFile(filepath.Join(f.dir, "authority.pem"), root.Certificate, 0o600); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= members; i++ {
		f.members = append(f.members, settings.Member{Name: f.name(i), Address: f.relayTo(i)})
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

// relayTo puts a relay before a process, at the address that the other members dial.
func (f *fleet) relayTo(i int) string {
	f.t.Helper()
	public := netip.MustParseAddrPort(f.address(i, 7102))
	r, err := relay.ListenUDP(f.network, public, netip.MustParseAddrPort(f.address(i, 7101)))
	if err != nil {
		f.t.Fatal(err)
	}
	f.relays = append(f.relays, r)
	return public.String()
}

// isolate cuts a process off from all others.
func (f *fleet) isolate(i int) {
	zone := func(i int) relay.Zone { return relay.Zone(netip.MustParseAddrPort(f.address(i, 7101)).Addr().String()) }
	for j := 1; j <= len(f.relays); j++ {
		if j != i {
			f.network.Set(zone(i), zone(j), relay.Fault{Cut: true})
		}
	}
}

func (f *fleet) name(i int) inventory.InstanceName {
	return inventory.InstanceName(fmt.Sprintf("control-%d", i))
}

// address returns an address on a loopback network of this test process and fleet.
func (f *fleet) address(host, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+pid%200, (pid/200+f.block)%250+1, host, port)
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
	for !f.counted && len(f.relays) < i {
		f.relayTo(len(f.relays) + 1)
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
		cmd.Env = append(os.Environ(), programEnv+"="+path)
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			f.t.Fatal(err)
		}
		r := &running{process: cmd.Process, done: make(chan error, 1)}
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

// stop ends a process gracefully, kill at once.
func (f *fleet) stop(i int) {
	f.t.Helper()
	if err := f.end(i, syscall.SIGTERM); err != nil {
		f.t.Errorf("%s: %v", f.name(i), err)
	}
}

func (f *fleet) kill(i int) {
	f.t.Helper()
	_ = f.end(i, syscall.SIGKILL)
}

func (f *fleet) end(i int, signal os.Signal) error {
	f.t.Helper()
	r := f.running[i]
	delete(f.running, i)
	_ = r.process.Signal(signal)
	select {
	case err := <-r.done:
		return err
	case <-time.After(awaitLimit):
		return errors.Join(errors.New("it does not stop"), r.process.Kill())
	}
}

// leader returns the process that leads now.
func (f *fleet) leader() int {
	f.t.Helper()
	i, err := f.lead(http.MethodGet, "/v1/status", nil, &protocol.FleetStatus{})
	if err != nil {
		f.t.Fatal(err)
	}
	return i
}

// call sends one operator's request to a process; a refusal comes back as a *protocol.OperatorError.
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

// lead sends a request to the leader, whichever process it is, until one answers as the leader.
func (f *fleet) lead(method, path string, body, answer any) (int, error) {
	f.t.Helper()
	deadline := time.Now().Add(awaitLimit)
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
	_, err := f.lead(http.MethodPost, "/v1/inventory", protocol.ApplyInventory{
		Operation: protocol.OperationID(operation), Base: base, Document: document,
	}, &record)
	return record, err
}

func (f *fleet) status() protocol.FleetStatus {
	f.t.Helper()
	var status protocol.FleetStatus
	if _, err := f.lead(http.MethodGet, "/v1/status", nil, &status); err != nil {
		f.t.Fatal(err)
	}
	return status
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(awaitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// document returns an inventory with one entry and one key; the number makes it differ from others.
func document(number int) string {
	return fmt.Sprintf(`{
  // Number %d.
  "regions": [{"name": "andina", "dataCentres": ["raquira"]}],
  "instances": [{"name": "entry-1", "dataCentre": "raquira"}],
  "workspaces": [{"name": "w1", "rate": %d, "burst": 20, "keys": []}],
}`, number, number+1)
}

// endpoint opens an entry's end of the inner protocol.
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

// renew sends one renewal to a process.
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
