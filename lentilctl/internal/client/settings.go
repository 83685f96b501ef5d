package client

import (
	"fmt"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/settings"
	"lentilwind.dev/lentilwind/jsonc"
)

// Settings holds the control addresses and the operator's identity files.
type Settings struct {
	// Control lists the operator API addresses of the control processes, as IP and port.
	Control  []string       `json:"control"`
	Identity identity.Files `json:"identity"`
}

// ApplyDefaults does nothing because no setting has a default.
func (*Settings) ApplyDefaults() {}

// Check validates the settings and returns every problem.
func (s *Settings) Check() []jsonc.Problem {
	var problems []jsonc.Problem
	if len(s.Control) == 0 {
		problems = append(problems, jsonc.Problem{
			Pointer: "/control", Message: "no control process is listed", Remedy: "list their operators' addresses",
		})
	}
	for i, address := range s.Control {
		problems = append(problems, settings.CheckAddress(fmt.Sprintf("/control/%d", i), address)...)
	}
	problems = append(problems, settings.CheckRequired("/identity/authority", s.Identity.Authority, "name the fleet's authority file")...)
	problems = append(problems, settings.CheckRequired("/identity/certificate", s.Identity.Certificate, "name the operator's certificate file")...)
	problems = append(problems, settings.CheckRequired("/identity/key", s.Identity.Key, "name the operator's key file")...)
	return problems
}

// ReadSettings reads the settings file and resolves its paths against the folder that contains it.
func ReadSettings(path string) (*Settings, error) {
	var s Settings
	if err := settings.Read(path, &s); err != nil {
		return nil, err
	}
	s.Identity.Authority = settings.ResolvePath(path, s.Identity.Authority)
	s.Identity.Certificate = settings.ResolvePath(path, s.Identity.Certificate)
	s.Identity.Key = settings.ResolvePath(path, s.Identity.Key)
	return &s, nil
}
