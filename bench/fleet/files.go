package fleet

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// Names and modes of the files and folders of a fleet.
const (
	fleetFolder     = "fleet"
	logsFolder      = "logs"
	databasesFolder = "databases"
	inventoryFile   = "inventory.jsonc"
	folderMode      = 0o750
	fileMode        = 0o640
)

// plannedProcess is an entry or control process in the fleet plan.
type plannedProcess struct {
	Name       string                  `json:"name"`
	DataCentre inventory.DataCentre    `json:"dataCentre"`
	Callers    string                  `json:"callers,omitempty"`
	Peer       string                  `json:"peer"`
	Operators  string                  `json:"operators,omitempty"`
	HTTP       string                  `json:"http"`
	Listen     *plannedListenAddresses `json:"listen,omitempty"`
}

type plannedListenAddresses struct {
	Callers string `json:"callers,omitempty"`
	Peer    string `json:"peer,omitempty"`
}

// initialise writes the plan and the inventory, starts the relays of the entry and control processes, and runs lentilctl to
// create certificates and settings.
func (f *Fleet) initialise(ctx context.Context) error {
	document, err := f.inventory()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	plan := struct {
		Fleet             string           `json:"fleet"`
		Control           []plannedProcess `json:"control"`
		Entries           []plannedProcess `json:"entries"`
		Operators         []string         `json:"operators"`
		PlainTextNetworks []string         `json:"plainTextNetworks"`
	}{Fleet: string(f.Layout.Region), Operators: []string{operatorName}, PlainTextNetworks: []string{"127.0.0.0/8"}}
	if f.options.RequireTLS {
		plan.PlainTextNetworks = nil
	}
	for _, m := range f.Layout.distribute("control", f.Layout.Control) {
		p, err := f.planInstance(m, controlHostOffset, "lentil-control", &f.Control)
		if err != nil {
			return err
		}
		p.Operators = f.block.address(m.dataCentre, controlHostOffset+m.number, operatorsPort).String()
		p.Callers = ""
		plan.Control = append(plan.Control, p)
	}
	for _, m := range f.Layout.distribute("entry", f.Layout.Entries) {
		p, err := f.planInstance(m, entryHostOffset, "lentil-entry", &f.Entries)
		if err != nil {
			return err
		}
		if f.options.Relays {
			if err := f.startCallersRelay(m, p.Listen, f.Entries[m.number]); err != nil {
				return err
			}
		}
		plan.Entries = append(plan.Entries, p)
	}
	planFile, documentFile := f.path("plan.jsonc"), f.path(inventoryFile)
	if err := writeJSON(planFile, plan); err != nil {
		return err
	}
	if err := os.WriteFile(documentFile, document, fileMode); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	cmd := exec.CommandContext(ctx, f.program("lentilctl"), "fleet", "init", "--plan", planFile,
		"--dir", f.path(fleetFolder), "--inventory", documentFile)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("fleet: lentilctl fleet init: %w: %s", err, out)
	}
	return nil
}

// planInstance assigns addresses to a process and starts the relays of its HTTP and peer ports.
func (f *Fleet) planInstance(m placement, hostOffset int, program string, list *[]*Instance) (plannedProcess, error) {
	host := hostOffset + m.number
	p := plannedProcess{
		Name:       m.name,
		DataCentre: f.Layout.DataCentres[m.dataCentre],
		Callers:    f.block.address(m.dataCentre, host, callersPort).String(),
		Peer:       f.block.address(m.dataCentre, host, peerPort).String(),
		HTTP:       f.block.address(m.dataCentre, host, httpPort).String(),
	}
	folder := f.path(fleetFolder, "instances", m.name)
	instance := &Instance{
		Process: NewProcess(m.name, f.path(logsFolder, m.name+".log"), f.program(program), "run",
			"--settings", filepath.Join(folder, "settings.jsonc")),
		DataCentre: p.DataCentre,
		Callers:    netip.MustParseAddrPort(p.Callers),
		HTTP:       netip.MustParseAddrPort(p.HTTP),
		EventsFile: filepath.Join(folder, m.name+".events.jsonl"),
	}
	*list = append(*list, instance)
	if !f.options.Relays {
		return p, nil
	}
	private := f.block.address(m.dataCentre, host, privatePeerPort)
	p.Listen = &plannedListenAddresses{Peer: private.String()}
	p.HTTP = f.block.address(m.dataCentre, host, privateHTTPPort).String()
	httpRelay, err := relay.ListenTCP(f.Network, instance.HTTP, netip.MustParseAddrPort(p.HTTP))
	if err != nil {
		return plannedProcess{}, err
	}
	f.relays = append(f.relays, httpRelay)
	r, err := relay.ListenUDP(f.Network, f.block.address(m.dataCentre, host, peerPort), private)
	if err != nil {
		return plannedProcess{}, err
	}
	instance.PeerRelay = r
	f.relays = append(f.relays, r)
	return p, nil
}

// startCallersRelay starts the relay of an entry's callers port.
func (f *Fleet) startCallersRelay(m placement, listen *plannedListenAddresses, instance *Instance) error {
	private := f.block.address(m.dataCentre, entryHostOffset+m.number, privateCallersPort)
	listen.Callers = private.String()
	r, err := relay.ListenTCP(f.Network, instance.Callers, private)
	if err != nil {
		return err
	}
	instance.CallersRelay = r
	f.relays = append(f.relays, r)
	return nil
}

// prepareDatabases writes the settings of the simulated databases and starts their relays.
func (f *Fleet) prepareDatabases() error {
	addresses := make(map[group.Service]map[group.Server]string)
	primaries := make(map[group.Service][]group.Server)
	for _, d := range f.Layout.databases() {
		if addresses[d.service] == nil {
			addresses[d.service] = make(map[group.Server]string)
		}
		addresses[d.service][group.Server(d.name)] = f.databaseAddress(d, databasePort).String()
		primaries[d.service] = append(primaries[d.service], group.Server(d.name))
	}
	for _, d := range f.Layout.databases() {
		if err := f.prepareDatabase(d, addresses[d.service], primaries[d.service]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) databaseAddress(d databasePlacement, port uint16) netip.AddrPort {
	return f.block.address(d.dataCentre, databaseHostOffset+d.number, port)
}

func (f *Fleet) prepareDatabase(d databasePlacement, peers map[group.Server]string, servers []group.Server) error {
	public, controlAddress := f.databaseAddress(d, databasePort), f.databaseAddress(d, databaseControlPort)
	record := f.path(recordsFolder, d.name+".jsonl")
	cfg := database.Config{
		Service: d.service, Server: group.Server(d.name), DataCentre: f.Layout.DataCentres[d.dataCentre],
		Listen: public.String(), Slots: f.Layout.Slots, Connections: f.Layout.Connections,
		ConnectTime: jsonc.Duration(f.Layout.ConnectTime), ApplyDelay: jsonc.Duration(f.Layout.ApplyDelay),
		DataFolder: f.path(databasesFolder, d.name), ControlListen: controlAddress.String(), RecordFile: record,
		ForgetRecord: true, Watch: f.watchedTexts(), Peers: peers,
	}
	for slot := range f.Layout.Slots {
		cfg.Primaries = append(cfg.Primaries, servers[slot%len(servers)])
	}
	for _, e := range f.Entries {
		cfg.Announce = append(cfg.Announce, "http://"+e.HTTP.String())
	}
	db := &Database{Service: d.service, DataCentre: cfg.DataCentre, Address: public, ControlAddress: controlAddress, RecordFile: record}
	if f.options.Relays {
		private := f.databaseAddress(d, privateDatabasePort)
		cfg.Listen, cfg.Advertise = private.String(), public.String()
		r, err := relay.ListenTCP(f.Network, public, private)
		if err != nil {
			return err
		}
		db.Relay = r
		f.relays = append(f.relays, r)
	}
	settingsFile := f.path(databasesFolder, d.name+".jsonc")
	db.Process = NewProcess(d.name, f.path(logsFolder, d.name+".log"), f.program("lentil-bench"), "database", "--settings", settingsFile)
	f.Databases[cfg.Server] = db
	return errors.Join(os.MkdirAll(f.path(recordsFolder), folderMode), writeJSON(settingsFile, cfg))
}

// watchedTexts lists the texts, including every key, that a database must report when it receives them.
func (f *Fleet) watchedTexts() []string {
	watch := append([]string{}, f.options.Watch...)
	for _, k := range f.Keys {
		watch = append(watch, k.Key)
	}
	return watch
}

func (f *Fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.options.Dir}, parts...)...)
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

const keyIDBytes = 6

// newKey returns a random key and its inventory record.
func newKey() (Key, inventory.Key) {
	raw := make([]byte, keyIDBytes)
	_, _ = rand.Read(raw)
	key := Key{ID: inventory.KeyID("k" + hex.EncodeToString(raw)), Key: "lw-" + rand.Text()}
	sum := sha256.Sum256([]byte(key.Key))
	return key, inventory.Key{ID: key.ID, Hash: "sha256:" + hex.EncodeToString(sum[:])}
}
