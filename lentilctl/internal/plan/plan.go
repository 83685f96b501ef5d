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

// Plan says which processes a fleet starts with; the inventory says what they serve.
type Plan struct {
	// Fleet is the name of the fleet's certificate authority.
	Fleet   string    `json:"fleet"`
	Control []Control `json:"control"`
	Entries []Entry   `json:"entries"`
	// Operators lists the people or programs that get an operator's certificate.
	Operators []string `json:"operators"`
	// PlainTextNetworks lists the callers' networks that may connect without TLS.
	PlainTextNetworks   []string       `json:"plainTextNetworks,omitempty"`
	CertificateLifetime jsonc.Duration `json:"certificateLifetime,omitempty"`
	// LogLevel is written to every settings file.
	LogLevel string `json:"logLevel,omitempty"`
}

// Control is one control process with its addresses, each an IP and port.
type Control struct {
	Name       inventory.InstanceName `json:"name"`
	DataCentre inventory.DataCentre   `json:"dataCentre"`
	// Peer takes messages of the system's other processes (UDP).
	Peer string `json:"peer"`
	// Operators takes operators' requests (HTTPS).
	Operators string `json:"operators"`
	// HTTP serves health and metrics.
	HTTP string `json:"http"`
	// Listen holds addresses to listen on where they differ from those that others dial.
	Listen ListenAddresses `json:"listen,omitzero"`
}

// ListenAddresses is the addresses behind a translation of addresses; empty ones are as others dial them.
type ListenAddresses struct {
	Callers   string `json:"callers,omitempty"`
	Peer      string `json:"peer,omitempty"`
	Operators string `json:"operators,omitempty"`
}

// Entry is one entry process with its addresses, each an IP and port.
type Entry struct {
	Name       inventory.InstanceName `json:"name"`
	DataCentre inventory.DataCentre   `json:"dataCentre"`
	// Callers takes callers' connections (TCP).
	Callers string `json:"callers"`
	// Peer takes messages of the system's other processes (UDP).
	Peer string `json:"peer"`
	// HTTP serves health, metrics and announcements.
	HTTP string `json:"http"`
	// Listen holds addresses to listen on where they differ from those that others dial.
	Listen ListenAddresses `json:"listen,omitzero"`
}

// Read reads a plan file; a refused one gives a *jsonc.Error with every problem.
func Read(path string) (*Plan, error) {
	var p Plan
	if err := settings.Read(path, &p); err != nil {
		return nil, err
	}
	return &p, nil
}

// ApplyDefaults fills fields that the file left out.
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

// Check returns every problem of the plan.
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
				Pointer: fmt.Sprintf("/plainTextNetworks/%d", i), Message: fmt.Sprintf("%q is no network", network),
				Remedy: `write for example "127.0.0.0/8"`,
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

func checkUnique(seen map[string]string, pointer, what string) []jsonc.Problem {
	if other, found := seen[what]; found {
		return []jsonc.Problem{{Pointer: pointer, Message: what + " stands twice, first at " + other, Remedy: "use another one"}}
	}
	seen[what] = pointer
	return nil
}

func checkAddresses(seen map[string]string, pointer string, addresses map[string]string) []jsonc.Problem {
	var problems []jsonc.Problem
	for _, field := range []string{"callers", "peer", "operators", "http"} {
		address, found := addresses[field]
		if !found {
			continue
		}
		fieldPointer := pointer + "/" + field
		wrong := settings.CheckAddress(fieldPointer, address)
		if len(wrong) == 0 {
			wrong = checkUnique(seen, fieldPointer, "address "+address)
		}
		problems = append(problems, wrong...)
	}
	return problems
}
