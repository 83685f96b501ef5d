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
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	commandTimeout    = 30 * time.Second
	probeTimeout      = time.Second
	operatorName      = "operator"
	clientsHost       = 1
	recordsFolder     = "records"
)

// Options configures the programs, files and network of a fleet.
type Options struct {
	// BinDir is the folder that contains the programs.
	BinDir string
	// Dir is the folder for the files of the fleet; it must be empty or not exist yet.
	Dir string
	// Relays starts a relay in front of every process, so that network faults can be injected.
	Relays bool
	// RequireTLS makes entries reject keys on connections without TLS.
	RequireTLS bool
	// Watch lists additional texts that the databases report when they receive them.
	Watch []string
}

// Fleet holds the running processes of a layout.
type Fleet struct {
	Layout  Layout
	Network *relay.Network
	Control []*Instance
	Entries []*Instance
	// Databases maps names to backend servers.
	Databases map[group.Server]*Database
	// Keys maps workspaces to their keys.
	Keys map[inventory.WorkspaceName]Key

	options Options
	block   *addressBlock
	relays  []interface{ Close() error }
}

// Key is an access key with its ID.
type Key struct {
	ID  inventory.KeyID
	Key string
}

// Instance is one entry or control process.
type Instance struct {
	*Process
	DataCentre inventory.DataCentre
	// Callers is the address on which an entry accepts callers.
	Callers netip.AddrPort
	// HTTP is the address for health checks, metrics and announcements.
	HTTP netip.AddrPort
	// EventsFile is the file to which the process writes its events.
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
	// Address is the address to which the system connects.
	Address netip.AddrPort
	// ControlAddress is the address of the HTTP interface for injecting faults into the simulated database.
	ControlAddress netip.AddrPort
	// RecordFile is the file to which the server writes its events.
	RecordFile string
	// Relay is nil without relays.
	Relay *relay.TCP
}

// Start creates and starts a fleet, applies its inventory and waits until every entry is ready and every group has a primary.
func Start(ctx context.Context, layout Layout, options Options) (*Fleet, error) {
	b, err := reserveAddressBlock()
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
		case <-time.After(readyPollInterval):
		}
	}
}

// missingPrimaries returns the number of groups without a primary.
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
			return fmt.Errorf("fleet: %s has exited; see %s", i.Name(), i.logPath)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s is not ready: %w", i.Name(), err)
		case <-time.After(readyPollInterval):
		}
	}
}

// Ready queries the readiness endpoint of the process once and returns an error if it is not ready.
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

// RunLentilctl runs lentilctl with JSON output and returns its standard output.
func (f *Fleet) RunLentilctl(ctx context.Context, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	args = append([]string{"--output", "json", "--config", f.clientSettings()}, args...)
	out, err := exec.CommandContext(ctx, f.program("lentilctl"), args...).Output()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return out, fmt.Errorf("fleet: lentilctl %v: %w: %s", args, err, exitErr.Stderr)
	}
	return out, err
}

// inventory returns the initial inventory document and creates a key for each workspace.
func (f *Fleet) inventory() ([]byte, error) {
	keys := make(map[inventory.WorkspaceName][]inventory.Key)
	for _, w := range f.Layout.Workspaces {
		if w.Name == inventory.PublicWorkspace {
			continue
		}
		key, hashed := newKey()
		f.Keys[w.Name] = key
		keys[w.Name] = []inventory.Key{hashed}
	}
	return json.MarshalIndent(f.Layout.Inventory(keys), "", "  ")
}

// ClientAddress returns an address of the block outside all data centres, for callers to dial from.
func (f *Fleet) ClientAddress() netip.Addr {
	return f.block.address(clientsDataCentre, clientsHost, 0).Addr()
}

// AuthorityFile returns the path of the authority certificate with which callers verify entries.
func (f *Fleet) AuthorityFile() string { return f.path(fleetFolder, "authority", "authority.pem") }

// EventFiles returns the paths of the event files of all entry and control processes.
func (f *Fleet) EventFiles() []string {
	var files []string
	for _, i := range append(append([]*Instance{}, f.Control...), f.Entries...) {
		files = append(files, i.EventsFile)
	}
	return files
}

// Close stops all processes and relays of the fleet; paused processes are resumed first.
func (f *Fleet) Close() error {
	var closeErr error
	for _, p := range f.processes() {
		if p.Running() {
			_ = p.Resume()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	results := make(chan error)
	processes := f.processes()
	for _, p := range processes {
		go func() { results <- p.Stop(ctx) }()
	}
	for range processes {
		closeErr = errors.Join(closeErr, <-results)
	}
	for _, r := range f.relays {
		closeErr = errors.Join(closeErr, r.Close())
	}
	f.block.release()
	return closeErr
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
