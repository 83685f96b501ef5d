package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"lentilwind.dev/bench/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	readyTimeout  = 30 * time.Second
	readyPoll     = 20 * time.Millisecond
	commandLimit  = 30 * time.Second
	probeTimeout  = time.Second
	operatorName  = "operator"
	clientsHost   = 1
	recordsFolder = "records"
)

// Options says where a fleet finds its programs and writes its files.
type Options struct {
	// BinDir is the folder with the programs.
	BinDir string
	// Dir is a folder that is empty or does not exist yet.
	Dir string
	// Relays puts a relay before every process, so that faults can be injected.
	Relays bool
	// RequireTLS makes entries refuse keys over plain text.
	RequireTLS bool
	// Watch lists texts that the databases report when they receive them.
	Watch []string
}

// Fleet is the running processes of one layout.
type Fleet struct {
	Layout  Layout
	Network *relay.Network
	Control []*Instance
	Entries []*Instance
	// Databases holds the backend servers by name.
	Databases map[group.Server]*Database
	// Keys holds each workspace's key.
	Keys map[inventory.WorkspaceName]Key

	options Options
	block   *block
	relays  []interface{ Close() error }
}

// Key is a granted key with its id.
type Key struct {
	ID  inventory.KeyID
	Key string
}

// Instance is one entry or control process.
type Instance struct {
	*Process
	DataCentre inventory.DataCentre
	// Callers is where callers connect to an entry.
	Callers netip.AddrPort
	// HTTP serves health, metrics and announcements.
	HTTP netip.AddrPort
	// EventsFile is the process's part of the time line.
	EventsFile string
	// CallersRelay is nil without relays and on control processes.
	CallersRelay *relay.TCP
	// PeerRelay is nil without relays.
	PeerRelay *relay.UDP
}

// Database is one backend server.
type Database struct {
	*Process
	Service    group.Service
	DataCentre inventory.DataCentre
	// Address is where the system connects.
	Address netip.AddrPort
	// ControlAddress is the HTTP interface of the stand-in.
	ControlAddress netip.AddrPort
	// RecordFile gets every observation of the server.
	RecordFile string
	// Relay is nil without relays.
	Relay *relay.TCP
}

// Start creates and starts a fleet, applies its inventory and waits until every entry is ready.
func Start(ctx context.Context, layout Layout, options Options) (*Fleet, error) {
	b, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Layout: layout, options: options, block: b,
		Network:   relay.NewNetwork(b.zoneOf(layout.DataCentres)),
		Databases: make(map[group.Server]*Database),
		Keys:      make(map[inventory.WorkspaceName]Key),
	}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.options.Dir, folderMode); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := f.initialise(ctx); err != nil {
		return err
	}
	if err := f.prepareDatabases(); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	document := filepath.Join(f.options.Dir, fleetFolder, inventoryFile)
	if _, err := f.RunLentilctl(ctx, "inventory", "apply", document, "--base", "0", "--wait=false"); err != nil {
		return err
	}
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	return f.waitPrimaries(ctx)
}

// waitPrimaries waits until every group has a primary.
func (f *Fleet) waitPrimaries(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		missing, err := f.missingPrimaries(ctx)
		if err == nil && missing == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("fleet: %d groups have no primary", missing), err)
		case <-time.After(readyPoll):
		}
	}
}

func (f *Fleet) missingPrimaries(ctx context.Context) (int, error) {
	missing := f.Layout.Services * f.Layout.Slots
	out, err := f.RunLentilctl(ctx, "status")
	if err != nil {
		return missing, err
	}
	var status protocol.FleetStatus
	if err := json.Unmarshal(out, &status); err != nil {
		return missing, fmt.Errorf("fleet: status: %w", err)
	}
	for _, g := range status.Groups {
		if g.Primary != "" {
			missing--
		}
	}
	return missing, nil
}

func (f *Fleet) startAll() error {
	for _, c := range f.Control {
		if err := c.Start(); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, d := range f.Databases {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until every running entry reports ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range f.Entries {
		if e.Running() {
			if err := e.WaitReady(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// WaitReady waits until the process reports ready.
func (i *Instance) WaitReady(ctx context.Context) error {
	for {
		err := i.Ready(ctx)
		if err == nil {
			return nil
		}
		if !i.Running() {
			return fmt.Errorf("fleet: %s has ended; see %s", i.Name(), i.logPath)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s is not ready: %w", i.Name(), err)
		case <-time.After(readyPoll):
		}
	}
}

// Ready asks the process once whether it is ready.
func (i *Instance) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.HTTP.String()+"/readyz", nil)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fleet: %s answers %s", i.Name(), response.Status)
	}
	return nil
}

// RunLentilctl runs the operators' command line with JSON output and returns what it prints.
func (f *Fleet) RunLentilctl(ctx context.Context, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, commandLimit)
	defer cancel()
	args = append([]string{"--output", "json", "--config", f.clientSettings()}, args...)
	out, err := exec.CommandContext(ctx, f.program("lentilctl"), args...).Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return out, fmt.Errorf("fleet: lentilctl %v: %w: %s", args, err, failed.Stderr)
	}
	return out, err
}

// Inventory returns the document with which the fleet began.
func (f *Fleet) inventory() ([]byte, error) {
	keys := make(map[inventory.WorkspaceName][]inventory.Key)
	for _, w := range f.Layout.Workspaces {
		if w.Name == inventory.PublicWorkspace {
			continue
		}
		granted, hashed := newKey()
		f.Keys[w.Name] = granted
		keys[w.Name] = []inventory.Key{hashed}
	}
	return json.MarshalIndent(f.Layout.Inventory(keys), "", "  ")
}

// ClientAddress returns an address of the block outside the data centres, for callers to dial from.
func (f *Fleet) ClientAddress() netip.Addr {
	return f.block.address(clientsDataCentre, clientsHost, 0).Addr()
}

// AuthorityFile returns the certificate by which callers know entries.
func (f *Fleet) AuthorityFile() string { return f.path(fleetFolder, "authority", "authority.pem") }

// EventFiles lists the events files of all processes.
func (f *Fleet) EventFiles() []string {
	var files []string
	for _, i := range append(append([]*Instance{}, f.Control...), f.Entries...) {
		files = append(files, i.EventsFile)
	}
	return files
}

// Close ends every process and relay that the fleet started.
func (f *Fleet) Close() error {
	var failed error
	for _, p := range f.processes() {
		if p.Running() {
			_ = p.Resume()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	results := make(chan error)
	processes := f.processes()
	for _, p := range processes {
		go func() { results <- p.Stop(ctx) }()
	}
	for range processes {
		failed = errors.Join(failed, <-results)
	}
	for _, r := range f.relays {
		failed = errors.Join(failed, r.Close())
	}
	f.block.release()
	return failed
}

func (f *Fleet) processes() []*Process {
	var list []*Process
	for _, i := range f.Entries {
		list = append(list, i.Process)
	}
	for _, i := range f.Control {
		list = append(list, i.Process)
	}
	for _, d := range f.Databases {
		list = append(list, d.Process)
	}
	return list
}

func (f *Fleet) program(name string) string { return filepath.Join(f.options.BinDir, name) }

func (f *Fleet) clientSettings() string {
	return filepath.Join(f.options.Dir, fleetFolder, "operators", operatorName, "lentilctl.jsonc")
}
