package homes

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

// Times of asking for budgets.
const (
	// tick is the time between two looks at the connections in use.
	tick = 100 * time.Millisecond
	// askAfter is the shortest time between two requests.
	askAfter = 250 * time.Millisecond
	// asksPerLease is how often a lease is renewed while nothing changes.
	asksPerLease = 4
	askTimeout   = 500 * time.Millisecond
	// lookAhead is how early a lease counts as over, so that connections are closed before it is.
	lookAhead = askTimeout + 3*tick
)

// LeaderClient sends a request to the control leader.
type LeaderClient interface {
	Call(ctx context.Context, attempt time.Duration, kind protocol.Kind, body, reply any) error
}

// Usage is how the entry uses its connections to a server.
type Usage struct {
	// Open counts the connections that are being opened as well.
	Open int
	// Busy counts the connections with a transaction and the transactions that wait for one.
	Busy int
}

// Config is what the homes need.
type Config struct {
	Name        inventory.InstanceName
	Incarnation protocol.Incarnation
	Settings    placement.Settings
	Directory   *directory.Directory
	Leader      LeaderClient
	// Usage tells how the entry uses its connections to a server.
	Usage func(server group.Server) Usage
	// Apply is called with every change of budgets or servers, and ends before anything is given back to the leader.
	Apply func(h *Manager)
	Log   *log.Logger
}

// Manager keeps the homes of all servers and the entry's budgets.
type Manager struct {
	cfg    Config
	places atomic.Pointer[map[group.Server]*place]
	// budgets is replaced as a whole, so that a look at it needs no lock.
	budgets atomic.Pointer[map[group.Server]Budget]

	mu     sync.Mutex
	keeper *placement.LeaseClient
	demand map[group.ServerID]*demand
	asked  time.Time
	// eager means that the next request should not wait for its turn.
	eager bool
}

// Budget is what the entry may have of one server.
type Budget struct {
	placement.Budget
	Server group.ServerID
}

// New returns homes that know no server and hold no budget before Run.
func New(cfg Config) *Manager {
	h := &Manager{
		cfg: cfg, demand: make(map[group.ServerID]*demand),
		keeper: placement.NewLeaseClient(cfg.Settings, cfg.Name, cfg.Incarnation),
	}
	h.budgets.Store(&map[group.Server]Budget{})
	h.places.Store(&map[group.Server]*place{})
	return h
}

// Homes appends the addresses of a server's other homes, the best first.
//
// It reports local if this entry is a home with a budget, or the only home there is.
func (h *Manager) Homes(server group.Server, dst []netip.AddrPort) (homes []netip.AddrPort, local bool) {
	p := (*h.places.Load())[server]
	if p == nil {
		return dst, false
	}
	local = p.home && (h.Budget(server).Target > 0 || len(p.others) == 0)
	return append(dst, p.others...), local
}

// IsHome tells whether this entry is one of a server's homes.
func (h *Manager) IsHome(server group.Server) bool {
	p := (*h.places.Load())[server]
	return p != nil && p.home
}

// Budget returns what the entry may have of a server.
func (h *Manager) Budget(server group.Server) Budget { return (*h.budgets.Load())[server] }

// Budgets calls a function for each server that this entry is a home of, and for each that it still has a budget of.
func (h *Manager) Budgets(yield func(group.Server, Budget) bool) {
	for server, budget := range *h.budgets.Load() {
		if !yield(server, budget) {
			return
		}
	}
}

// Run follows the directory and asks for budgets until the context ends.
func (h *Manager) Run(ctx context.Context) error {
	subscription := h.cfg.Directory.Subscribe()
	defer subscription.Close()
	h.follow()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed:
			h.follow()
			h.publish(time.Now())
			h.cfg.Apply(h)
		case <-ticker.C:
		}
		if request := h.next(time.Now()); request != nil {
			h.ask(ctx, request)
		}
		if h.publish(time.Now()) {
			h.cfg.Apply(h)
		}
	}
}

// Release gives back every budget, also when the context has ended; the entry must have closed its connections before.
func (h *Manager) Release(ctx context.Context) {
	h.mu.Lock()
	request := h.keeper.NewRequest(time.Now(), nil)
	h.mu.Unlock()
	if h.publish(time.Now()) {
		h.cfg.Apply(h)
	}
	h.ask(context.WithoutCancel(ctx), &request)
}

// ask sends a request and takes in the reply.
func (h *Manager) ask(ctx context.Context, request *placement.Request) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply placement.Reply
	if err := h.cfg.Leader.Call(ctx, askTimeout, protocol.KindBudget, request, &reply); err != nil {
		h.cfg.Log.Debug().Err(err).Msg("no renewal of the connection budgets")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeper.HandleReply(&reply)
}
