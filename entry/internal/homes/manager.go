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

// Intervals and timeouts of budget requests.
const (
	// checkPeriod is how often the use of the connections is checked.
	checkPeriod = 100 * time.Millisecond
	// minRequestInterval is the shortest time between two requests, unless the homes change.
	minRequestInterval = 250 * time.Millisecond
	// requestsPerLease is how often a lease is renewed within its duration while nothing changes.
	requestsPerLease = 4
	requestTimeout   = 500 * time.Millisecond
	// leaseMargin is how early a lease is treated as expired, so that its connections are closed in time.
	leaseMargin = requestTimeout + 3*checkPeriod
)

// LeaderClient sends requests to the control leader.
type LeaderClient interface {
	Call(ctx context.Context, attempt time.Duration, kind protocol.Kind, body, reply any) error
}

// Usage is the entry's use of its connections to a server.
type Usage struct {
	// Open is the number of connections, including those being opened.
	Open int
	// Busy is the number of connections with a transaction plus the transactions that wait for a connection.
	Busy int
}

// Config configures a Manager.
type Config struct {
	Name        inventory.InstanceName
	Incarnation protocol.Incarnation
	Settings    placement.Settings
	Directory   *directory.Directory
	Leader      LeaderClient
	// Usage returns the entry's use of its connections to a server.
	Usage func(server group.Server) Usage
	// Apply is called after every change of the budgets or servers. Connections are given back to the leader only after it has
	// returned.
	Apply func(m *Manager)
	Log   *log.Logger
}

// Manager keeps the homes of all servers and the connection budgets of this entry.
type Manager struct {
	cfg     Config
	servers atomic.Pointer[map[group.Server]*serverHomes]
	// budgets is replaced as a whole, so that it can be read without a lock.
	budgets atomic.Pointer[map[group.Server]Budget]

	mu          sync.Mutex
	leases      *placement.LeaseClient
	demand      map[group.ServerID]*peakDemand
	lastRequest time.Time
	// requestNow makes the next request due at once.
	requestNow bool
}

// Budget is the number of connections that the entry may have to a server.
type Budget struct {
	placement.Budget
	Server group.ServerID
}

// New returns a manager without servers or budgets; Run fills it.
func New(cfg Config) *Manager {
	m := &Manager{
		cfg: cfg, demand: make(map[group.ServerID]*peakDemand),
		leases: placement.NewLeaseClient(cfg.Settings, cfg.Name, cfg.Incarnation),
	}
	m.budgets.Store(&map[group.Server]Budget{})
	m.servers.Store(&map[group.Server]*serverHomes{})
	return m
}

// Homes appends the addresses of a server's other homes, the best first.
//
// It reports local if this entry is a home with a budget, or the only home.
func (m *Manager) Homes(server group.Server, dst []netip.AddrPort) (homes []netip.AddrPort, local bool) {
	s := (*m.servers.Load())[server]
	if s == nil {
		return dst, false
	}
	local = s.local && (m.Budget(server).Target > 0 || len(s.others) == 0)
	return append(dst, s.others...), local
}

// IsHome reports whether this entry is a home of a server.
func (m *Manager) IsHome(server group.Server) bool {
	s := (*m.servers.Load())[server]
	return s != nil && s.local
}

// Budget returns the entry's budget for a server.
func (m *Manager) Budget(server group.Server) Budget { return (*m.budgets.Load())[server] }

// Budgets yields each server that this entry is a home of or still has a budget for.
func (m *Manager) Budgets(yield func(group.Server, Budget) bool) {
	for server, budget := range *m.budgets.Load() {
		if !yield(server, budget) {
			return
		}
	}
}

// Run follows the directory and requests budgets until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	subscription := m.cfg.Directory.Subscribe()
	defer subscription.Close()
	m.updateHomes()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed:
			m.updateHomes()
			m.updateBudgets(time.Now())
			m.cfg.Apply(m)
		case <-ticker.C:
		}
		if request := m.nextRequest(time.Now()); request != nil {
			m.send(ctx, request)
		}
		if m.updateBudgets(time.Now()) {
			m.cfg.Apply(m)
		}
	}
}

// Release returns all budgets to the leader, even if ctx has ended. The entry must have closed its connections before.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	request := m.leases.NewRequest(time.Now(), nil)
	m.mu.Unlock()
	if m.updateBudgets(time.Now()) {
		m.cfg.Apply(m)
	}
	m.send(context.WithoutCancel(ctx), &request)
}

// send sends a request and applies the reply.
func (m *Manager) send(ctx context.Context, request *placement.Request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var reply placement.Reply
	if err := m.cfg.Leader.Call(ctx, requestTimeout, protocol.KindBudget, request, &reply); err != nil {
		m.cfg.Log.Debug().Err(err).Msg("renewing the connection budgets failed")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases.HandleReply(&reply)
}
