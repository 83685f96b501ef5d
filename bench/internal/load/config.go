package load

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Entry is one entry that callers connect to.
type Entry struct {
	Name    string
	Address string
}

// Service is one service that callers use.
type Service struct {
	Name  group.Service
	Slots int
	// Databases has the address of each database, for probes and the final reading.
	Databases []string
}

// Surge multiplies the rate of a workspace for a time.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Workspace is one workspace with the load that it offers.
type Workspace struct {
	Name inventory.WorkspaceName
	Key  string
	// Rate is the offered requests a second, before surges.
	Rate     float64
	Sessions int
	Surges   []Surge
	// ReadOnly leaves writes out, for callers without a key.
	ReadOnly bool
}

// Kind tells how a request is built.
type Kind string

// The kinds of requests.
const (
	// KindRead reads the journal of one key.
	KindRead Kind = "read"
	// KindInsert writes one row with a single statement.
	KindInsert Kind = "insert"
	// KindReserve reserves stock and records a deposit in one transaction.
	KindReserve Kind = "reserve"
)

// Step is one part of a workload's mix.
type Step struct {
	Route        inventory.RouteName
	Kind         Kind
	MaxStaleness time.Duration
	// Share is the part of all requests.
	Share float64
	// OwnKey is the part of the requests that use the key that the session wrote last.
	OwnKey float64
}

// Config is a load.
type Config struct {
	Entries    []Entry
	Services   []Service
	Workspaces []Workspace
	Mix        []Step
	// Keys is the number of different keys in each workspace of each service.
	Keys     int
	Seed     uint64
	Duration time.Duration
	// Roam is the chance that a session changes its entry before a request.
	Roam float64
	// Forget is the chance that a roaming session comes without its token.
	Forget float64
	// Local is the address that callers dial from; the zero value leaves it to the system.
	Local netip.Addr
	// Probe is the workspace whose requests are sent both through entries and directly; empty sends none.
	Probe       inventory.WorkspaceName
	ProbePeriod time.Duration
	// Record gets each request as it ends.
	Record func(history.Request)
}

// The values that were left out.
const (
	DefaultKeys   = 50
	DefaultRoam   = 0.05
	DefaultForget = 0.2
	// RequestTimeout bounds one request with its connection attempts.
	RequestTimeout = 10 * time.Second
)

// TresRiosMix is lookups, orders and restocks.
func TresRiosMix() []Step {
	return []Step{
		{Route: "lookup", Kind: KindRead, MaxStaleness: time.Second, Share: 0.7, OwnKey: 0.3},
		{Route: "order", Kind: KindReserve, Share: 0.15},
		{Route: "restock", Kind: KindInsert, Share: 0.15},
	}
}

// ClydesideMix is postings, prints of the own depot's roll, and payroll's checks.
func ClydesideMix() []Step {
	return []Step{
		{Route: "posting", Kind: KindInsert, Share: 0.5},
		{Route: "roll", Kind: KindRead, MaxStaleness: time.Second, Share: 0.35, OwnKey: 1},
		{Route: "payroll", Kind: KindRead, MaxStaleness: time.Minute, Share: 0.15},
	}
}

// SlotOf returns the slot that a key belongs to.
func SlotOf(key string, slots int) group.Slot {
	return group.Slot(xxhash.Sum64String(key) % uint64(slots))
}

func keyName(n int) string { return "pallet-" + strconv.Itoa(n) }
