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

// MaxMembers is the maximum number of control processes in a fleet.
const MaxMembers = 7

// Settings are the settings that a control process reads from a file when it starts.
type Settings struct {
	// Name is the instance's name; it must be the name in its certificate.
	Name       inventory.InstanceName `json:"name"`
	DataCentre inventory.DataCentre   `json:"dataCentre"`
	Listen     Listen                 `json:"listen"`
	// Advertise has the addresses that others dial, if they differ from the ones in Listen.
	Advertise Advertise `json:"advertise,omitzero"`
	// Members lists the control processes that bootstrap a new fleet, including this one.
	Members []Member `json:"members"`
	// DataFolder contains the journal, snapshots and identity.
	DataFolder string         `json:"dataFolder"`
	Identity   identity.Files `json:"identity"`
	// EventsFile is the file to which events are written; if empty, none are written.
	EventsFile string `json:"eventsFile,omitempty"`
	LogLevel   string `json:"logLevel,omitempty"`
}

// Listen has the addresses on which a control process listens, as IP address and port.
type Listen struct {
	// Peers is the UDP address for other processes of the fleet.
	Peers string `json:"peers"`
	// Operators is the TCP address for operators, who need a certificate.
	Operators string `json:"operators"`
	// HTTP is the TCP address for health checks and metrics, which need no certificate.
	HTTP string `json:"http"`
}

// Advertise has the addresses that others dial; an empty one defaults to the address in Listen.
type Advertise struct {
	Peers     string `json:"peers,omitempty"`
	Operators string `json:"operators,omitempty"`
}

// Member is a control process of a new fleet.
type Member struct {
	Name    inventory.InstanceName `json:"name"`
	Address string                 `json:"address"`
}

var logLevelPattern = regexp.MustCompile(`^(debug|info|warn|error)$`)

// Read reads a settings file and resolves its paths relative to the file.
func Read(path string) (*Settings, error) {
	var s Settings
	if err := settings.Read(path, &s); err != nil {
		return nil, err
	}
	for _, file := range []*string{&s.DataFolder, &s.Identity.Authority, &s.Identity.Certificate, &s.Identity.Key, &s.EventsFile} {
		*file = settings.ResolvePath(path, *file)
	}
	return &s, nil
}

// ApplyDefaults sets fields that are missing in the file.
func (s *Settings) ApplyDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.DataFolder == "" {
		s.DataFolder = "data"
	}
}

// AdvertisedPeerAddress returns the address at which other processes reach this one: the advertised one, else that in Members,
// else the one listened on.
func (s *Settings) AdvertisedPeerAddress() string {
	for _, member := range s.Members {
		if member.Name == s.Name && s.Advertise.Peers == "" {
			return member.Address
		}
	}
	return cmp.Or(s.Advertise.Peers, s.Listen.Peers)
}

// AdvertisedOperatorAddress returns the address at which operators reach this process.
func (s *Settings) AdvertisedOperatorAddress() string {
	return cmp.Or(s.Advertise.Operators, s.Listen.Operators)
}

// Check returns all problems, each with the JSON pointer of its field.
func (s *Settings) Check() []jsonc.Problem {
	problems := settings.CheckRequired("/name", string(s.Name), "write the name of this instance")
	problems = append(problems, settings.CheckRequired("/dataCentre", string(s.DataCentre), "write the data centre of this instance")...)
	problems = append(problems, settings.CheckAddress("/listen/peers", s.Listen.Peers)...)
	problems = append(problems, settings.CheckAddress("/listen/operators", s.Listen.Operators)...)
	problems = append(problems, settings.CheckAddress("/listen/http", s.Listen.HTTP)...)
	if s.Advertise.Peers != "" {
		problems = append(problems, settings.CheckAddress("/advertise/peers", s.Advertise.Peers)...)
	}
	if s.Advertise.Operators != "" {
		problems = append(problems, settings.CheckAddress("/advertise/operators", s.Advertise.Operators)...)
	}
	problems = append(problems, settings.CheckRequired("/identity/authority", s.Identity.Authority, "name the authority's certificate file")...)
	problems = append(problems, settings.CheckRequired("/identity/certificate", s.Identity.Certificate, "name the certificate file")...)
	problems = append(problems, settings.CheckRequired("/identity/key", s.Identity.Key, "name the key file")...)
	if !logLevelPattern.MatchString(s.LogLevel) {
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
		problems = append(problems, settings.CheckRequired(pointer+"/name", string(member.Name), "write the instance's name")...)
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
