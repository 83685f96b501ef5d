package plan

import (
	"fmt"
	"net/netip"
	"time"

	"lentilwind.dev/instance/settings"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

const (
	defaultCertificateLifetime = 90 * 24 * time.Hour
	maxControlProcesses        = 7
)

// Plan describes the initial processes of a fleet; the inventory describes what they serve.
type Plan struct {
	// Fleet is the name of the fleet's certificate authority.
	Fleet   string    `json:"fleet"`
	Control []Control `json:"control"`
	Entries []Entry   `json:"entries"`
	// Operators lists the people or programs that get an operator certificate.
	Operators []string `json:"operators"`
	// PlainTextNetworks lists the networks, in CIDR notation, from which callers may connect without TLS.
	PlainTextNetworks   []string       `json:"plainTextNetworks,omitempty"`
	CertificateLifetime jsonc.Duration `json:"certificateLifetime,omitempty"`
	// LogLevel is written to every settings file.
	LogLevel string `json:"logLevel,omitempty"`
}

// Control is a control process; each address is an IP and port.
type Control struct {
	Name       inventory.InstanceName `json:"name"`
	DataCentre inventory.DataCentre   `json:"dataCentre"`
	// Peer is the address for messages from other processes of the system (UDP).
	Peer string `json:"peer"`
	// Operators is the address for operator requests (HTTPS).
	Operators string `json:"operators"`
	// HTTP is the address for health checks and metrics.
	HTTP string `json:"http"`
	// Listen overrides the addresses to listen on.
	Listen ListenAddresses `json:"listen,omitzero"`
}

// ListenAddresses overrides the addresses to listen on when they differ from the advertised ones, such as behind NAT.
// An empty field means the advertised address.
type ListenAddresses struct {
	Callers   string `json:"callers,omitempty"`
	Peer      string `json:"peer,omitempty"`
	Operators string `json:"operators,omitempty"`
}

// Entry is an entry process; each address is an IP and port.
type Entry struct {
	Name       inventory.InstanceName `json:"name"`
	DataCentre inventory.DataCentre   `json:"dataCentre"`
	// Callers is the address for connections of callers (TCP).
	Callers string `json:"callers"`
	// Peer is the address for messages from other processes of the system (UDP).
	Peer string `json:"peer"`
	// HTTP is the address for health checks, metrics and announcements.
	HTTP string `json:"http"`
	// Listen overrides the addresses to listen on.
	Listen ListenAddresses `json:"listen,omitzero"`
}

// Read reads and validates a plan file. For an invalid plan, the error is a *jsonc.Error that lists every problem.
func Read(path string) (*Plan, error) {
	var p Plan
	if err := settings.Read(path, &p); err != nil {
		return nil, err
	}
	return &p, nil
}

// ApplyDefaults sets the defaults of omitted fields.
func (p *Plan) ApplyDefaults() {
	if p.CertificateLifetime == 0 {
		p.CertificateLifetime = jsonc.Duration(defaultCertificateLifetime)
	}
	if p.LogLevel == "" {
		p.LogLevel = "info"
	}
	if len(p.Operators) == 0 {
		p.Operators = []string{"operator"}
	}
}

// Check validates the plan and returns every problem.
func (p *Plan) Check() []jsonc.Problem {
	problems := settings.CheckRequired("/fleet", p.Fleet, "name the fleet")
	if n := len(p.Control); n == 0 || n%2 == 0 || n > maxControlProcesses {
		problems = append(problems, jsonc.Problem{
			Pointer: "/control", Message: fmt.Sprintf("%d control processes are planned", n), Remedy: "plan 1, 3, 5 or 7",
		})
	}
	if len(p.Entries) == 0 {
		problems = append(problems, jsonc.Problem{Pointer: "/entries", Message: "no entry is planned", Remedy: "plan at least one"})
	}
	seen := make(map[string]string)
	for i, c := range p.Control {
		pointer := fmt.Sprintf("/control/%d", i)
		problems = append(problems, checkUnique(seen, pointer+"/name", "name "+string(c.Name))...)
		problems = append(problems, checkAddresses(seen, pointer, map[string]string{
			"peer": c.Peer, "operators": c.Operators, "http": c.HTTP,
		})...)
		problems = append(problems, checkListen(pointer, c.Listen)...)
	}
	for i, e := range p.Entries {
		pointer := fmt.Sprintf("/entries/%d", i)
		problems = append(problems, checkUnique(seen, pointer+"/name", "name "+string(e.Name))...)
		problems = append(problems, checkAddresses(seen, pointer, map[string]string{
			"callers": e.Callers, "peer": e.Peer, "http": e.HTTP,
		})...)
		problems = append(problems, checkListen(pointer, e.Listen)...)
	}
	for i, network := range p.PlainTextNetworks {
		if _, err := netip.ParsePrefix(network); err != nil {
			problems = append(problems, jsonc.Problem{
				Pointer: fmt.Sprintf("/plainTextNetworks/%d", i), Message: fmt.Sprintf("%q is not a network", network),
				Remedy: `use CIDR notation, for example "127.0.0.0/8"`,
			})
		}
	}
	return problems
}

func checkListen(pointer string, l ListenAddresses) []jsonc.Problem {
	var problems []jsonc.Problem
	for field, address := range map[string]string{"callers": l.Callers, "peer": l.Peer, "operators": l.Operators} {
		if address != "" {
			problems = append(problems, settings.CheckAddress(pointer+"/listen/"+field, address)...)
		}
	}
	return problems
}

// checkUnique reports a value that has been seen before, and otherwise records its pointer.
func checkUnique(seen map[string]string, pointer, value string) []jsonc.Problem {
	if other, found := seen[value]; found {
		return []jsonc.Problem{{Pointer: pointer, Message: value + " is used twice, first at " + other, Remedy: "use another one"}}
	}
	seen[value] = pointer
	return nil
}

// checkAddresses validates addresses and reports duplicates; addresses maps field names to addresses.
func checkAddresses(seen map[string]string, pointer string, addresses map[string]string) []jsonc.Problem {
	var problems []jsonc.Problem
	for _, field := range []string{"callers", "peer", "operators", "http"} {
		address, found := addresses[field]
		if !found {
			continue
		}
		fieldPointer := pointer + "/" + field
		invalid := settings.CheckAddress(fieldPointer, address)
		if len(invalid) == 0 {
			invalid = checkUnique(seen, fieldPointer, "address "+address)
		}
		problems = append(problems, invalid...)
	}
	return problems
}
