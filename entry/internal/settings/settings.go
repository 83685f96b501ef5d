package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/settings"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// Settings is the settings file of an entry.
type Settings struct {
	Name       inventory.InstanceName `json:"name"`
	DataCentre inventory.DataCentre   `json:"dataCentre"`
	Listen     Listen                 `json:"listen"`
	// Advertise is the address at which other processes reach the entry, if it differs from listen.peers.
	Advertise string `json:"advertise"`
	// Control lists the addresses of the control processes.
	Control  []string       `json:"control"`
	Identity identity.Files `json:"identity"`
	// SessionSecretFile is a file with the secrets that sign session tokens, one per line, newest first.
	SessionSecretFile string `json:"sessionSecretFile"`
	// PlainTextNetworks lists the networks from which callers may send keys without TLS.
	PlainTextNetworks []string `json:"plainTextNetworks"`
	Limits            Limits   `json:"limits"`
	Stop              Stop     `json:"stop"`
	// Budgets selects how the entry's share of the connections to a database is determined.
	Budgets BudgetSource `json:"budgets"`
	// EventsFile is the file to which events are written; empty means none.
	EventsFile string `json:"eventsFile"`
	LogLevel   string `json:"logLevel"`
}

// Listen holds the listen addresses of an entry, each as IP and port.
type Listen struct {
	Callers string `json:"callers"`
	// Peers is the UDP address for other processes of the fleet.
	Peers string `json:"peers"`
	// HTTP is the address for health checks of the load balancer, metrics and announcements.
	HTTP string `json:"http"`
}

// Limits holds resource limits and timeouts for callers.
type Limits struct {
	Callers           int            `json:"callers"`
	RequestBytes      int            `json:"requestBytes"`
	AnswerBytes       int            `json:"answerBytes"`
	RequestTimeout    jsonc.Duration `json:"requestTimeout"`
	AnswerTimeout     jsonc.Duration `json:"answerTimeout"`
	ConfirmTimeout    jsonc.Duration `json:"confirmTimeout"`
	IdleInTransaction jsonc.Duration `json:"idleInTransaction"`
	SlowCaller        jsonc.Duration `json:"slowCaller"`
	StartupTimeout    jsonc.Duration `json:"startupTimeout"`
}

// BudgetSource selects how connection budgets are determined.
type BudgetSource string

// Budget sources.
const (
	// BudgetSourceInventory divides the connections among the entry instances of the inventory.
	BudgetSourceInventory BudgetSource = "inventory"
	// BudgetSourceLeased uses the budgets that control leases to entries by demand.
	BudgetSourceLeased BudgetSource = "leased"
)

// Stop configures the steps of a graceful shutdown.
type Stop struct {
	// UnreadyFor is the time during which /readyz fails before connections of idle callers are closed.
	UnreadyFor jsonc.Duration `json:"unreadyFor"`
	// Deadline is the time after which running transactions are aborted.
	Deadline jsonc.Duration `json:"deadline"`
}

// Default values.
const (
	DefaultCallers           = 25_000
	DefaultRequestBytes      = 16 << 20
	DefaultAnswerBytes       = 256 << 10
	DefaultRequestTimeout    = 10 * time.Second
	DefaultAnswerTimeout     = 30 * time.Second
	DefaultConfirmTimeout    = 10 * time.Second
	DefaultIdleInTransaction = time.Minute
	DefaultSlowCaller        = 10 * time.Second
	DefaultStartupTimeout    = 10 * time.Second
	DefaultUnreadyFor        = 2 * time.Second
	DefaultDeadline          = 30 * time.Second
	DefaultLogLevel          = "info"
)

// Read reads a settings file. Relative paths in it are resolved against the file's directory.
func Read(path string) (*Settings, error) {
	var s Settings
	if err := settings.Read(path, &s); err != nil {
		return nil, err
	}
	for _, p := range []*string{&s.Identity.Authority, &s.Identity.Certificate, &s.Identity.Key, &s.SessionSecretFile, &s.EventsFile} {
		*p = settings.ResolvePath(path, *p)
	}
	return &s, nil
}

// ApplyDefaults sets the default value of each setting that is missing.
func (s *Settings) ApplyDefaults() {
	l := &s.Limits
	setDefault(&l.Callers, DefaultCallers)
	setDefault(&l.RequestBytes, DefaultRequestBytes)
	setDefault(&l.AnswerBytes, DefaultAnswerBytes)
	setDefault(&l.RequestTimeout, jsonc.Duration(DefaultRequestTimeout))
	setDefault(&l.AnswerTimeout, jsonc.Duration(DefaultAnswerTimeout))
	setDefault(&l.ConfirmTimeout, jsonc.Duration(DefaultConfirmTimeout))
	setDefault(&l.IdleInTransaction, jsonc.Duration(DefaultIdleInTransaction))
	setDefault(&l.SlowCaller, jsonc.Duration(DefaultSlowCaller))
	setDefault(&l.StartupTimeout, jsonc.Duration(DefaultStartupTimeout))
	setDefault(&s.Stop.UnreadyFor, jsonc.Duration(DefaultUnreadyFor))
	setDefault(&s.Stop.Deadline, jsonc.Duration(DefaultDeadline))
	setDefault(&s.Budgets, BudgetSourceInventory)
	setDefault(&s.LogLevel, DefaultLogLevel)
}

func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// Check returns all problems of the settings.
func (s *Settings) Check() []jsonc.Problem {
	problems := slices.Concat(
		settings.CheckRequired("/name", string(s.Name), "write the instance's name in the inventory"),
		settings.CheckRequired("/dataCentre", string(s.DataCentre), "write the data centre's name in the inventory"),
		settings.CheckAddress("/listen/callers", s.Listen.Callers),
		settings.CheckAddress("/listen/peers", s.Listen.Peers),
		settings.CheckAddress("/listen/http", s.Listen.HTTP),
		settings.CheckRequired("/identity/authority", s.Identity.Authority, "name the fleet's certificate"),
		settings.CheckRequired("/identity/certificate", s.Identity.Certificate, "name the instance's certificate"),
		settings.CheckRequired("/identity/key", s.Identity.Key, "name the instance's private key"),
		settings.CheckRequired("/sessionSecretFile", s.SessionSecretFile, "name the file with the fleet's session secret"),
	)
	if s.Advertise != "" {
		problems = append(problems, settings.CheckAddress("/advertise", s.Advertise)...)
	}
	if len(s.Control) == 0 {
		problems = append(problems, jsonc.Problem{
			Pointer: "/control", Message: "no control process is listed", Remedy: "list the address of each one",
		})
	}
	for i, address := range s.Control {
		problems = append(problems, settings.CheckAddress(fmt.Sprintf("/control/%d", i), address)...)
	}
	for i, network := range s.PlainTextNetworks {
		problems = append(problems, checkNetwork(fmt.Sprintf("/plainTextNetworks/%d", i), network)...)
	}
	return append(problems, s.checkLimits()...)
}

func checkNetwork(pointer, value string) []jsonc.Problem {
	if _, err := netip.ParsePrefix(value); err == nil {
		return nil
	}
	return []jsonc.Problem{{
		Pointer: pointer, Message: fmt.Sprintf("%q is not a network", value), Remedy: `write for example "127.0.0.0/8"`,
	}}
}

func (s *Settings) checkLimits() []jsonc.Problem {
	var problems []jsonc.Problem
	if s.Budgets != BudgetSourceInventory && s.Budgets != BudgetSourceLeased {
		problems = append(problems, jsonc.Problem{
			Pointer: "/budgets", Message: fmt.Sprintf("%q is not a source of budgets", s.Budgets), Remedy: `write "inventory" or "leased"`,
		})
	}
	for _, limit := range []struct {
		pointer string
		value   int64
	}{
		{"/limits/callers", int64(s.Limits.Callers)},
		{"/limits/requestBytes", int64(s.Limits.RequestBytes)},
		{"/limits/answerBytes", int64(s.Limits.AnswerBytes)},
		{"/limits/requestTimeout", int64(s.Limits.RequestTimeout)},
		{"/limits/answerTimeout", int64(s.Limits.AnswerTimeout)},
		{"/limits/confirmTimeout", int64(s.Limits.ConfirmTimeout)},
		{"/limits/idleInTransaction", int64(s.Limits.IdleInTransaction)},
		{"/limits/slowCaller", int64(s.Limits.SlowCaller)},
		{"/limits/startupTimeout", int64(s.Limits.StartupTimeout)},
		{"/stop/unreadyFor", int64(s.Stop.UnreadyFor)},
		{"/stop/deadline", int64(s.Stop.Deadline)},
	} {
		if limit.value < 0 {
			problems = append(problems, jsonc.Problem{
				Pointer: limit.pointer, Message: "the limit is negative", Remedy: "remove it for the default, or write a positive value",
			})
		}
	}
	return problems
}

// PlainTextPrefixes returns the parsed PlainTextNetworks. It panics if one of them is invalid, so the settings must have passed Check.
func (s *Settings) PlainTextPrefixes() []netip.Prefix {
	prefixes := make([]netip.Prefix, 0, len(s.PlainTextNetworks))
	for _, network := range s.PlainTextNetworks {
		prefixes = append(prefixes, netip.MustParsePrefix(network).Masked())
	}
	return prefixes
}
