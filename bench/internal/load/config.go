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
	Name   inventory.WorkspaceName
	APIKey string
	// Rate is the offered requests a second, before surges.
	Rate     float64
	Sessions int
	Surges   []Surge
	// ReadOnly leaves writes out, for callers without a key.
	ReadOnly bool
}

// RequestKind tells how a request is built.
type RequestKind string

// The kinds of requests.
const (
	// KindRead reads the journal of one key.
	KindRead RequestKind = "read"
	// KindInsert writes one row with a single statement.
	KindInsert RequestKind = "insert"
	// KindReserve reserves stock and records a deposit in one transaction.
	KindReserve RequestKind = "reserve"
)

// RequestClass is one part of a workload's mix.
type RequestClass struct {
	Route        inventory.RouteName
	Kind         RequestKind
	MaxStaleness time.Duration
	// Share is the part of all requests.
	Share float64
	// OwnKeyShare is the part of the requests that use the key that the session wrote last.
	OwnKeyShare float64
}

// Config is a load.
type Config struct {
	Entries    []Entry
	Services   []Service
	Workspaces []Workspace
	Mix        []RequestClass
	// KeyCount is the number of different keys in each workspace of each service.
	KeyCount int
	Seed     uint64
	Duration time.Duration
	// EntrySwitchProbability is the chance that a session changes its entry before a request.
	EntrySwitchProbability float64
	// TokenLossProbability is the chance that a roaming session comes without its token.
	TokenLossProbability float64
	// LocalAddress is the address that callers dial from; the zero value leaves it to the system.
	LocalAddress netip.Addr
	// ProbeWorkspace is the workspace whose requests are sent both through entries and directly; empty sends none.
	ProbeWorkspace inventory.WorkspaceName
	ProbePeriod    time.Duration
	// Record gets each request as it ends.
	Record func(history.Request)
}

// The values that were left out.
const (
	DefaultKeyCount               = 50
	DefaultEntrySwitchProbability = 0.05
	DefaultTokenLossProbability   = 0.2
	// RequestTimeout bounds one request with its connection attempts.
	RequestTimeout = 10 * time.Second
)

// TresRiosMix is lookups, orders and restocks.
func TresRiosMix() []RequestClass {
	return []RequestClass{
		{Route: "lookup", Kind: KindRead, MaxStaleness: time.Second, Share: 0.7, OwnKeyShare: 0.3},
		{Route: "order", Kind: KindReserve, Share: 0.15},
		{Route: "restock", Kind: KindInsert, Share: 0.15},
	}
}

// ClydesideMix is postings, prints of the own depot's roll, and payroll's checks.
func ClydesideMix() []RequestClass {
	return []RequestClass{
		{Route: "posting", Kind: KindInsert, Share: 0.5},
		{Route: "roll", Kind: KindRead, MaxStaleness: time.Second, Share: 0.35, OwnKeyShare: 1},
		{Route: "payroll", Kind: KindRead, MaxStaleness: time.Minute, Share: 0.15},
	}
}

// SlotOf returns the slot that a key belongs to.
func SlotOf(key string, slots int) group.Slot {
	return group.Slot(xxhash.Sum64String(key) % uint64(slots))
}

func keyName(n int) string { return "pallet-" + strconv.Itoa(n) }
