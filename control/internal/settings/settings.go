package settings

import (
	"cmp"
	"fmt"
	"regexp"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/settings"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// MaxMembers is the most control processes that a fleet may have.
const MaxMembers = 7

// Settings is what a control process reads at its start.
type Settings struct {
	// Name is the instance's name; it must be the name in its certificate.
	Name       inventory.InstanceName `json:"name"`
	DataCentre inventory.DataCentre   `json:"dataCentre"`
	Listen     Listen                 `json:"listen"`
	// Advertise holds the addresses that others dial, where they differ from the ones listened on.
	Advertise Advertise `json:"advertise,omitzero"`
	// Members lists the control processes that begin a new fleet, with this one.
	Members []Member `json:"members"`
	// DataFolder holds the journal.
	DataFolder string         `json:"dataFolder"`
	Identity   identity.Files `json:"identity"`
	// EventsFile takes the time line of events; empty writes none.
	EventsFile string `json:"eventsFile,omitempty"`
	LogLevel   string `json:"logLevel,omitempty"`
}

// Listen is the addresses of a control process, as IP and port.
type Listen struct {
	// Peers is the UDP address for other processes of the fleet.
	Peers string `json:"peers"`
	// Operators is the address for operators, with certificates.
	Operators string `json:"operators"`
	// HTTP is the address for health and metrics, without certificates.
	HTTP string `json:"http"`
}

// Advertise is the addresses that others dial; empty ones are as listened on.
type Advertise struct {
	Peers     string `json:"peers,omitempty"`
	Operators string `json:"operators,omitempty"`
}

// Member is one control process of a new fleet.
type Member struct {
	Name    inventory.InstanceName `json:"name"`
	Address string                 `json:"address"`
}

var levels = regexp.MustCompile(`^(debug|info|warn|error)$`)

// Read reads a settings file and makes its paths relative to the file.
func Read(path string) (*Settings, error) {
	var s Settings
	if err := settings.Read(path, &s); err != nil {
		return nil, err
	}
	for _, file := range []*string{&s.DataFolder, &s.Identity.Authority, &s.Identity.Certificate, &s.Identity.Key, &s.EventsFile} {
		*file = settings.Resolve(path, *file)
	}
	return &s, nil
}

// ApplyDefaults fills fields that the file left out.
func (s *Settings) ApplyDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.DataFolder == "" {
		s.DataFolder = "data"
	}
}

// AdvertisedPeerAddress returns where other processes reach this one.
func (s *Settings) AdvertisedPeerAddress() string {
	for _, member := range s.Members {
		if member.Name == s.Name && s.Advertise.Peers == "" {
			return member.Address
		}
	}
	return cmp.Or(s.Advertise.Peers, s.Listen.Peers)
}

// AdvertisedOperatorAddress returns where operators reach this process.
func (s *Settings) AdvertisedOperatorAddress() string {
	return cmp.Or(s.Advertise.Operators, s.Listen.Operators)
}

// Check returns every problem with the JSON pointer of each.
func (s *Settings) Check() []jsonc.Problem {
	problems := settings.CheckPresent("/name", string(s.Name), "write the name of this instance")
	problems = append(problems, settings.CheckPresent("/dataCentre", string(s.DataCentre), "write the data centre of this instance")...)
	problems = append(problems, settings.CheckAddress("/listen/peers", s.Listen.Peers)...)
	problems = append(problems, settings.CheckAddress("/listen/operators", s.Listen.Operators)...)
	problems = append(problems, settings.CheckAddress("/listen/http", s.Listen.HTTP)...)
	if s.Advertise.Peers != "" {
		problems = append(problems, settings.CheckAddress("/advertise/peers", s.Advertise.Peers)...)
	}
	if s.Advertise.Operators != "" {
		problems = append(problems, settings.CheckAddress("/advertise/operators", s.Advertise.Operators)...)
	}
	problems = append(problems, settings.CheckPresent("/identity/authority", s.Identity.Authority, "name the authority's certificate file")...)
	problems = append(problems, settings.CheckPresent("/identity/certificate", s.Identity.Certificate, "name the certificate file")...)
	problems = append(problems, settings.CheckPresent("/identity/key", s.Identity.Key, "name the key file")...)
	if !levels.MatchString(s.LogLevel) {
		problems = append(problems, jsonc.Problem{
			Pointer: "/logLevel", Message: fmt.Sprintf("log level %q is not known", s.LogLevel), Remedy: "write debug, info, warn or error",
		})
	}
	return append(problems, s.checkMembers()...)
}

func (s *Settings) checkMembers() []jsonc.Problem {
	var problems []jsonc.Problem
	seen := make(map[inventory.InstanceName]bool)
	for i, member := range s.Members {
		pointer := fmt.Sprintf("/members/%d", i)
		problems = append(problems, settings.CheckPresent(pointer+"/name", string(member.Name), "write the instance's name")...)
		problems = append(problems, settings.CheckAddress(pointer+"/address", member.Address)...)
		if seen[member.Name] {
			problems = append(problems, jsonc.Problem{
				Pointer: pointer + "/name", Message: fmt.Sprintf("member %q stands twice", member.Name), Remedy: "keep one of them",
			})
		}
		seen[member.Name] = true
	}
	if len(s.Members) > MaxMembers {
		problems = append(problems, jsonc.Problem{
			Pointer: "/members", Message: fmt.Sprintf("%d members are too many", len(s.Members)),
			Remedy: fmt.Sprintf("list at most %d; 3 or 5 is usual", MaxMembers),
		})
	}
	if len(s.Members) > 0 && !seen[s.Name] {
		problems = append(problems, jsonc.Problem{
			Pointer: "/members", Message: fmt.Sprintf("this instance, %q, is not among the members", s.Name),
			Remedy: "add it, or leave members out for an instance that joins a running fleet",
		})
	}
	return problems
}
