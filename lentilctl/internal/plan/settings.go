package plan

import (
	"cmp"
	"path/filepath"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/inventory"
)

// writeSettings writes the settings files of all processes and operators and the session secret of the entries.
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

// member is a control process in the member list of the control settings.
type member struct {
	Name    inventory.InstanceName `json:"name"`
	Address string                 `json:"address"`
}

// controlListen holds the addresses that a control process listens on.
type controlListen struct {
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	HTTP      string `json:"http"`
}

// controlAdvertise holds the addresses that others dial; a field is empty if it equals the listen address.
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
		controlAdvertise{advertisedAddress(c.Peer, c.Listen.Peer), advertisedAddress(c.Operators, c.Listen.Operators)},
		members, "data", identityFiles(), string(c.Name) + ".events.jsonl", p.LogLevel,
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
		advertisedAddress(e.Peer, e.Listen.Peer), control, identityFiles(), sessionKeyFile, p.PlainTextNetworks,
		string(e.Name) + ".events.jsonl", p.LogLevel,
	})
}

// entryListen holds the addresses that an entry listens on.
type entryListen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	HTTP    string `json:"http"`
}

// advertisedAddress returns the dialled address if a separate listen address is set, and "" otherwise.
func advertisedAddress(dialled, listened string) string {
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
	}{addresses, identityFiles()})
}
