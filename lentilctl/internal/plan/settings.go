package plan

import (
	"cmp"
	"path/filepath"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/inventory"
)

// writeSettings writes the settings file of every process and operator.
func writeSettings(dir string, p *Plan, sessionSecret []byte) error {
	for _, c := range p.Control {
		if err := writeControlSettings(filepath.Join(dir, instancesFolder, string(c.Name)), p, c); err != nil {
			return err
		}
	}
	for _, e := range p.Entries {
		folder := filepath.Join(dir, instancesFolder, string(e.Name))
		if err := writeFiles(folder, map[string][]byte{sessionKeyFile: sessionSecret}); err != nil {
			return err
		}
		if err := writeEntrySettings(folder, p, e); err != nil {
			return err
		}
	}
	for _, name := range p.Operators {
		if err := writeClientSettings(filepath.Join(dir, operatorsFolder, name), p); err != nil {
			return err
		}
	}
	return nil
}

// member is one control process as the settings of the others name it.
type member struct {
	Name    inventory.InstanceName `json:"name"`
	Address string                 `json:"address"`
}

// controlListen is the addresses that a control process listens on.
type controlListen struct {
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	HTTP      string `json:"http"`
}

// controlAdvertise is the addresses that others dial, where they differ.
type controlAdvertise struct {
	Peers     string `json:"peers,omitempty"`
	Operators string `json:"operators,omitempty"`
}

func writeControlSettings(folder string, p *Plan, c Control) error {
	members := make([]member, len(p.Control))
	for i, other := range p.Control {
		members[i] = member{other.Name, other.Peer}
	}
	return writeJSON(filepath.Join(folder, settingsFile), "Settings of lentil-control; paths are relative to this file.", struct {
		Name       inventory.InstanceName `json:"name"`
		DataCentre inventory.DataCentre   `json:"dataCentre"`
		Listen     controlListen          `json:"listen"`
		Advertise  controlAdvertise       `json:"advertise,omitzero"`
		Members    []member               `json:"members"`
		DataFolder string                 `json:"dataFolder"`
		Identity   identity.Files         `json:"identity"`
		EventsFile string                 `json:"eventsFile"`
		LogLevel   string                 `json:"logLevel,omitempty"`
	}{
		c.Name, c.DataCentre,
		controlListen{cmp.Or(c.Listen.Peer, c.Peer), cmp.Or(c.Listen.Operators, c.Operators), c.HTTP},
		controlAdvertise{advertised(c.Peer, c.Listen.Peer), advertised(c.Operators, c.Listen.Operators)},
		members, "data", ownIdentity(), string(c.Name) + ".events.jsonl", p.LogLevel,
	})
}

func writeEntrySettings(folder string, p *Plan, e Entry) error {
	control := make([]string, len(p.Control))
	for i, c := range p.Control {
		control[i] = c.Peer
	}
	return writeJSON(filepath.Join(folder, settingsFile), "Settings of lentil-entry; paths are relative to this file.", struct {
		Name              inventory.InstanceName `json:"name"`
		DataCentre        inventory.DataCentre   `json:"dataCentre"`
		Listen            entryListen            `json:"listen"`
		Advertise         string                 `json:"advertise,omitempty"`
		Control           []string               `json:"control"`
		Identity          identity.Files         `json:"identity"`
		SessionSecretFile string                 `json:"sessionSecretFile"`
		PlainTextNetworks []string               `json:"plainTextNetworks,omitempty"`
		EventsFile        string                 `json:"eventsFile"`
		LogLevel          string                 `json:"logLevel"`
	}{
		e.Name, e.DataCentre,
		entryListen{cmp.Or(e.Listen.Callers, e.Callers), cmp.Or(e.Listen.Peer, e.Peer), e.HTTP},
		advertised(e.Peer, e.Listen.Peer), control, ownIdentity(), sessionKeyFile, p.PlainTextNetworks,
		string(e.Name) + ".events.jsonl", p.LogLevel,
	})
}

// entryListen is the addresses that an entry listens on.
type entryListen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	HTTP    string `json:"http"`
}

// advertised returns the dialled address where it differs from the one listened on.
func advertised(dialled, listened string) string {
	if listened == "" {
		return ""
	}
	return dialled
}

func writeClientSettings(folder string, p *Plan) error {
	addresses := make([]string, len(p.Control))
	for i, c := range p.Control {
		addresses[i] = c.Operators
	}
	return writeJSON(filepath.Join(folder, clientFile), "Settings of lentilctl; paths are relative to this file.", struct {
		Control  []string       `json:"control"`
		Identity identity.Files `json:"identity"`
	}{addresses, ownIdentity()})
}
