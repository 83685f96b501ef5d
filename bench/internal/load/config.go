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

// Entry is the name and the client address of an entry.
type Entry struct {
	Name    string
	Address string
}

// Service is a service that requests are sent to, with its number of slots.
type Service struct {
	Name  group.Service
	Slots int
	// Databases lists the database addresses, for latency probes and for reading the final journals.
	Databases []string
}

// Surge multiplies the rate of a workspace by Factor between two times since the start of the load.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Workspace describes the load that one workspace offers.
type Workspace struct {
	Name   inventory.WorkspaceName
	APIKey string
	// Rate is the number of requests offered per second, outside surges.
	Rate     float64
	Sessions int
	Surges   []Surge
	// ReadOnly restricts the sessions to reads, for clients without an API key.
	ReadOnly bool
}

// RequestKind selects the statements of a request.
type RequestKind string

// The request kinds.
const (
	// KindRead reads the journal rows of one key.
	KindRead RequestKind = "read"
	// KindInsert inserts one journal row with a single statement.
	KindInsert RequestKind = "insert"
	// KindReserve takes stock and inserts a journal row in one transaction.
	KindReserve RequestKind = "reserve"
)

// RequestClass is one class of requests in a workload mix.
type RequestClass struct {
	Route        inventory.RouteName
	Kind         RequestKind
	MaxStaleness time.Duration
	// Share is the fraction of all requests.
	Share float64
	// OwnKeyShare is the fraction of these requests that use the key that the session wrote last.
	OwnKeyShare float64
}

// Config configures a Generator.
type Config struct {
	Entries    []Entry
	Services   []Service
	Workspaces []Workspace
	Mix        []RequestClass
	// KeyCount is the number of distinct row keys in each workspace of each service.
	KeyCount int
	Seed     uint64
	Duration time.Duration
	// EntrySwitchProbability is the probability that a session reconnects to a random entry before a request.
	EntrySwitchProbability float64
	// TokenLossProbability is the probability that a session drops its session token when it switches entries.
	TokenLossProbability float64
	// LocalAddress is the source address of connections; the zero value lets the operating system choose.
	LocalAddress netip.Addr
	// ProbeWorkspace is the workspace of the latency probes, which alternate between an entry and a database. Empty disables
	// them.
	ProbeWorkspace inventory.WorkspaceName
	ProbePeriod    time.Duration
	// Record is called with each request when it ends, from several goroutines.
	Record func(history.Request)
}

// Default values of Config.
const (
	DefaultKeyCount               = 50
	DefaultEntrySwitchProbability = 0.05
	DefaultTokenLossProbability   = 0.2
	// RequestTimeout is the timeout of one request, including its connection attempts.
	RequestTimeout = 10 * time.Second
)

// TresRiosMix returns a mix of lookups, orders and restocks.
func TresRiosMix() []RequestClass {
	return []RequestClass{
		{Route: "lookup", Kind: KindRead, MaxStaleness: time.Second, Share: 0.7, OwnKeyShare: 0.3},
		{Route: "order", Kind: KindReserve, Share: 0.15},
		{Route: "restock", Kind: KindInsert, Share: 0.15},
	}
}

// ClydesideMix returns a mix of postings, reads of the roll that the session wrote last, and payroll reads.
func ClydesideMix() []RequestClass {
	return []RequestClass{
		{Route: "posting", Kind: KindInsert, Share: 0.5},
		{Route: "roll", Kind: KindRead, MaxStaleness: time.Second, Share: 0.35, OwnKeyShare: 1},
		{Route: "payroll", Kind: KindRead, MaxStaleness: time.Minute, Share: 0.15},
	}
}

// SlotOf returns the slot that a row key belongs to.
func SlotOf(key string, slots int) group.Slot {
	return group.Slot(xxhash.Sum64String(key) % uint64(slots))
}

func keyName(n int) string { return "pallet-" + strconv.Itoa(n) }
