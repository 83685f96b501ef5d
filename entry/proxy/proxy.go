package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/coldstart"
	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/queue"
	"lentilwind.dev/lentilwind/quota"
	"lentilwind.dev/lentilwind/succession"
)

// Admission admits operations according to the workspaces' quotas.
type Admission interface {
	// Acquire returns nil if an operation may run. It may wait for a token.
	Acquire(ctx context.Context, workspace inventory.WorkspaceName, request quota.Request) error
	// Ready reports whether operations are likely to be admitted.
	Ready() bool
}

// Config configures a Proxy.
type Config struct {
	Instance   inventory.InstanceName
	DataCentre inventory.DataCentre
	// Regions holds the region of each data centre; it may be empty if no route or workspace is bound to regions.
	Regions map[inventory.DataCentre]policy.Region
	// LinkMbps is the speed of this entry's link in Mbit/s; 0 if it is not known. All entries must have the same value.
	LinkMbps float64
	// DrainTime is how long a database that leaves may get new work; 0 sets no bound.
	DrainTime time.Duration
	Connector database.Connector
	Admission Admission
	// Client forwards work to other entries.
	Client *peer.Client
	Log    *log.Logger
	// Now is a clock that includes the time in which the system was suspended.
	Now func() time.Time
	// DrainGrace is the time from the start of a graceful shutdown to its forced end.
	DrainGrace time.Duration
}

// Proxy handles the client sessions of one entry.
type Proxy struct {
	cfg      Config
	policy   atomic.Pointer[policy.Policy]
	clusters atomic.Pointer[map[group.Service]*cluster]
	entries  atomic.Pointer[entryTable]
	held     heldConns
	// evacuations is the newest list of evacuated data centres.
	evacuations atomic.Pointer[evacuation.Table]
	// authority decides which servers may be used as primaries where only leases fence them.
	authority *succession.Authority
	// leaseUntil is the time until which the policy is valid.
	leaseUntil atomic.Pointer[time.Time]
	draining   atomic.Bool
	startedAt  time.Time
	// configured is closed when the entry has its first configuration and a lease on it.
	configured     chan struct{}
	configuredOnce sync.Once

	// waits counts the waits of sessions for their clients.
	waits atomic.Uint64

	mu       sync.Mutex
	sessions map[*session]struct{}
	roster   fleet.Roster
	watchers map[chan struct{}]struct{}

	counters counters
	// hedges limits the reads that are sent to a second server.
	hedges *queue.RetryBudget
}

// New returns a proxy without a policy. It serves requests after SetPolicy, SetRoster and ExtendLease have been called.
func New(cfg Config) *Proxy {
	p := &Proxy{cfg: cfg, sessions: make(map[*session]struct{}), watchers: make(map[chan struct{}]struct{})}
	p.startedAt, p.configured = cfg.Now(), make(chan struct{})
	p.authority = succession.NewAuthority()
	p.evacuations.Store(&evacuation.Table{})
	p.hedges = queue.NewRetryBudget(hedgeRatio, hedgeBurst)
	p.clusters.Store(&map[group.Service]*cluster{})
	p.leaseUntil.Store(&time.Time{})
	p.entries.Store(&entryTable{})
	p.held.byID = make(map[forward.HeldID]*heldConn)
	return p
}

// SetPolicy applies a policy. A policy whose version is not newer than the current one is ignored.
func (p *Proxy) SetPolicy(next *policy.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.policy.Load(); current != nil && current.Version >= next.Version {
		return
	}
	p.policy.Store(next)
	p.applyRoster()
	for changed := range p.watchers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	p.cfg.Log.Info().Uint64("version", uint64(next.Version)).Int("routes", len(next.Routes)).Msg("policyApplied")
}

// Policy returns the current policy, or nil before the first one.
func (p *Proxy) Policy() *policy.Policy { return p.policy.Load() }

// Watch returns a channel that is signalled after each new policy until stop is called.
func (p *Proxy) Watch() (changed <-chan struct{}, stop func()) {
	signal := make(chan struct{}, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers[signal] = struct{}{}
	return signal, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watchers, signal)
	}
}

// Limits returns the quota of a workspace or of the account of a cold database. It reports false if there is none of that name.
func (p *Proxy) Limits(workspace inventory.WorkspaceName) (quota.Limits, bool) {
	if server, found := coldstart.Server(workspace); found {
		return p.coldLimits(server)
	}
	current := p.policy.Load()
	if current == nil {
		return quota.Limits{}, false
	}
	for _, w := range current.WorkspaceList {
		if w.Name == workspace {
			return quota.Limits{Rate: w.Rate, Burst: w.Burst}, true
		}
	}
	return quota.Limits{}, false
}

// SetAdmission sets the admission control. It must be called before the first session.
func (p *Proxy) SetAdmission(admission Admission) { p.cfg.Admission = admission }

// SetRoster applies a roster of database servers and entries.
func (p *Proxy) SetRoster(roster fleet.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster = roster
	p.entries.Store(newEntryTable(p.cfg.Instance, p.entries.Load(), roster.Entries))
	p.applyRoster()
}

// applyRoster updates the clusters from the roster. A cluster exists for each service of the policy, also for those of earlier policies.
func (p *Proxy) applyRoster() {
	current := *p.clusters.Load()
	next := make(map[group.Service]*cluster, len(current))
	for name, c := range current {
		next[name] = c
	}
	byService := make(map[group.Service][]fleet.Server)
	for _, s := range p.roster.Servers {
		byService[s.Service] = append(byService[s.Service], s)
	}
	currentPolicy := p.policy.Load()
	if currentPolicy == nil {
		return
	}
	for name := range currentPolicy.Services {
		if next[name] == nil {
			next[name] = newCluster(name, p)
		}
	}
	for name, service := range currentPolicy.Services {
		next[name].fencedByLeases.Store(service.Fencing == policy.FencedByLeases)
	}
	for name, c := range next {
		limits := func(s fleet.Server) (maxOpen, maxRunning int) { return p.limitsFor(currentPolicy.Services[name], s) }
		c.update(byService[name], p.roster.Partial, limits, p.assignOwners, p.cfg.Connector, p.cfg.Now)
	}
	p.clusters.Store(&next)
}

// ExtendLease extends the time until which the policy is valid. A lease is never shortened.
func (p *Proxy) ExtendLease(until time.Time) {
	if current := p.leaseUntil.Load(); until.After(*current) {
		p.leaseUntil.Store(&until)
	}
	if p.policy.Load() != nil && p.hasLease() {
		p.markConfigured()
	}
}

// hasLease reports whether the policy is still valid. Without a lease, a key may have been withdrawn without this entry knowing.
func (p *Proxy) hasLease() bool { return p.cfg.Now().Before(*p.leaseUntil.Load()) }

// Ready reports whether the load balancer should send new sessions to this entry.
func (p *Proxy) Ready() bool {
	return !p.draining.Load() && p.policy.Load() != nil && p.hasLease() && p.cfg.Admission.Ready()
}

func (p *Proxy) cluster(name group.Service) *cluster { return (*p.clusters.Load())[name] }

// Run closes expired connections until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.maintain()
		}
	}
}

// maintenanceInterval is the time between two checks for expired connections.
const maintenanceInterval = 500 * time.Millisecond

func (p *Proxy) maintain() {
	if current := p.policy.Load(); current != nil && current.TransactionIdleTimeout > 0 {
		for _, conn := range p.held.expire(p.cfg.Now(), current.TransactionIdleTimeout+heldConnGrace) {
			conn.resume()
			conn.broken = true
			conn.release()
		}
	}
	for _, c := range *p.clusters.Load() {
		c.mu.Lock()
		for _, pool := range c.pools {
			pool.closeIdle()
			p.logLimit(pool)
		}
		c.mu.Unlock()
	}
}

// Reports returns the observed health of the primaries and of the databases that do not answer.
func (p *Proxy) Reports() []fleet.ServerReport {
	now := p.cfg.Now()
	var reports []fleet.ServerReport
	for _, c := range *p.clusters.Load() {
		c.mu.Lock()
		for id, pool := range c.pools {
			lastSuccess, failingSince := pool.health()
			if failingSince.IsZero() && id != c.primary {
				continue
			}
			report := fleet.ServerReport{Server: id}
			if !lastSuccess.IsZero() {
				report.SinceAnswer = max(1, now.Sub(lastSuccess))
			}
			if !failingSince.IsZero() {
				report.FailingFor = max(1, now.Sub(failingSince))
			}
			reports = append(reports, report)
		}
		c.mu.Unlock()
	}
	return reports
}

// Drain shuts down gracefully. It waits until all sessions have ended or the context ends. Open transactions may continue for the given
// time.
func (p *Proxy) Drain(ctx context.Context, transactions time.Duration) {
	p.draining.Store(true)
	forceAt := p.cfg.Now().Add(transactions)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for p.interruptSessions(!p.cfg.Now().Before(forceAt))+p.held.len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// interruptSessions interrupts the idle sessions, or all of them, and returns the number of open sessions.
func (p *Proxy) interruptSessions(all bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		if s.idle.Load() || all {
			s.client.Interrupt()
		}
	}
	return len(p.sessions)
}

// minStartWait is how long a session that has not been started is spared when room is needed.
const minStartWait = 200 * time.Millisecond

// EvictSession ends one session to make room for another: the one that has waited for its START message for the longest time, or else the
// one that has been idle for the longest time. It returns false if there is none.
func (p *Proxy) EvictSession() bool {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var starting, idle *session
	for s := range p.sessions {
		switch {
		case s.evicted:
		case s.starting.Load():
			if now.Sub(s.acceptedAt) >= minStartWait && (starting == nil || s.acceptedAt.Before(starting.acceptedAt)) {
				starting = s
			}
		case s.idle.Load():
			if idle == nil || s.waitNumber.Load() < idle.waitNumber.Load() {
				idle = s
			}
		}
	}
	victim := starting
	if victim == nil {
		victim = idle
	}
	if victim == nil {
		return false
	}
	victim.evicted = true
	victim.client.Interrupt()
	return true
}

// drainPollInterval is the time between two checks of the open sessions during a graceful shutdown.
const drainPollInterval = 20 * time.Millisecond

// Draining reports whether a graceful shutdown has begun.
func (p *Proxy) Draining() bool { return p.draining.Load() }

// Sessions returns the number of open sessions.
func (p *Proxy) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}
