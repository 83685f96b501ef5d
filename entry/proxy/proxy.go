package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/queue"
	"lentilwind.dev/lentilwind/quota"
)

// Admission takes operations out of the workspaces' quotas.
type Admission interface {
	// Acquire returns nil once an operation may run.
	Acquire(ctx context.Context, workspace inventory.WorkspaceName) error
	// Ready tells whether operations can be expected to be admitted.
	Ready() bool
}

// Config is what a proxy needs.
type Config struct {
	Instance   inventory.InstanceName
	DataCentre inventory.DataCentre
	Connector  database.Connector
	Admission  Admission
	// Client hands work to other entries.
	Client *peer.Client
	Log    *log.Logger
	// Now is a clock that counts suspended time.
	Now func() time.Time
	// DrainGrace is the time from a planned stop to its forced end.
	DrainGrace time.Duration
}

// Proxy is the request path of one entry.
type Proxy struct {
	cfg      Config
	policy   atomic.Pointer[policy.Policy]
	clusters atomic.Pointer[map[group.Service]*cluster]
	homes    atomic.Pointer[homeTable]
	held     heldLinks
	// leaseUntil is the end of the right to act on the policy.
	leaseUntil atomic.Pointer[time.Time]
	draining   atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
	roster   fleet.Roster
	watchers map[chan struct{}]struct{}

	counters counters
	// hedges bounds the reads that are offered to a second server.
	hedges *queue.RetryBudget
}

// New returns a proxy without a policy; it serves once SetPolicy, SetRoster and ExtendLease were called.
func New(cfg Config) *Proxy {
	p := &Proxy{cfg: cfg, sessions: make(map[*session]struct{}), watchers: make(map[chan struct{}]struct{})}
	p.hedges = queue.NewRetryBudget(hedgeBudget, savedHedges)
	p.clusters.Store(&map[group.Service]*cluster{})
	p.leaseUntil.Store(&time.Time{})
	p.homes.Store(&homeTable{})
	p.held.all = make(map[uint64]*held)
	return p
}

// SetPolicy puts a configuration in force; an older one than the last is ignored.
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

// Policy returns the configuration in force, nil before the first.
func (p *Proxy) Policy() *policy.Policy { return p.policy.Load() }

// Watch returns a channel that is signalled after each new policy, until stop is called.
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

// Limits returns the quota of a workspace; false means that it does not exist.
func (p *Proxy) Limits(workspace inventory.WorkspaceName) (quota.Limits, bool) {
	current := p.policy.Load()
	if current == nil {
		return quota.Limits{}, false
	}
	for _, w := range current.List {
		if w.Name == workspace {
			return quota.Limits{Rate: w.Rate, Burst: w.Burst}, true
		}
	}
	return quota.Limits{}, false
}

// SetAdmission sets who admits operations; it must be called before the first session.
func (p *Proxy) SetAdmission(admission Admission) { p.cfg.Admission = admission }

// SetRoster takes in which databases there are.
func (p *Proxy) SetRoster(roster fleet.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster = roster
	p.homes.Store(newHomeTable(p.cfg.Instance, p.homes.Load(), roster.Entries))
	p.applyRoster()
}

// applyRoster gives each service its servers; services come from the policy and from the servers themselves.
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
			next[name] = newCluster(name)
		}
	}
	for name, c := range next {
		limits := func(s fleet.Server) (limit, width int) { return p.limitsFor(currentPolicy.Services[name], s) }
		c.update(byService[name], p.roster.Partial, limits, p.cfg.Connector, p.cfg.Now)
	}
	p.clusters.Store(&next)
}

// ExtendLease allows requests with keys until a time.
func (p *Proxy) ExtendLease(until time.Time) {
	if current := p.leaseUntil.Load(); until.After(*current) {
		p.leaseUntil.Store(&until)
	}
}

// leased tells whether the policy may be acted on, so that no withdrawn key is accepted.
func (p *Proxy) leased() bool { return p.cfg.Now().Before(*p.leaseUntil.Load()) }

// Ready tells whether the balancer should send new sessions here.
func (p *Proxy) Ready() bool {
	return !p.draining.Load() && p.policy.Load() != nil && p.leased() && p.cfg.Admission.Ready()
}

func (p *Proxy) cluster(name group.Service) *cluster { return (*p.clusters.Load())[name] }

// Run keeps pools and proofs in shape until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	ticker := time.NewTicker(upkeepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.upkeep()
		}
	}
}

// upkeepPeriod is the time between two looks at idle connections.
const upkeepPeriod = 500 * time.Millisecond

func (p *Proxy) upkeep() {
	if current := p.policy.Load(); current != nil && current.TransactionIdle > 0 {
		for _, l := range p.held.expire(p.cfg.Now(), current.TransactionIdle+heldGrace) {
			l.resume()
			l.broken = true
			l.release()
		}
	}
	for _, c := range *p.clusters.Load() {
		c.mu.Lock()
		for _, pool := range c.pools {
			pool.trim()
		}
		c.mu.Unlock()
	}
}

// Reports returns what was seen of the databases that do not answer, and of the primaries.
func (p *Proxy) Reports() []fleet.ServerReport {
	now := p.cfg.Now()
	var reports []fleet.ServerReport
	for _, c := range *p.clusters.Load() {
		c.mu.Lock()
		for id, pool := range c.pools {
			lastOK, failing := pool.health()
			if failing.IsZero() && id != c.primary {
				continue
			}
			report := fleet.ServerReport{Server: id}
			if !lastOK.IsZero() {
				report.SinceAnswer = max(1, now.Sub(lastOK))
			}
			if !failing.IsZero() {
				report.FailingFor = max(1, now.Sub(failing))
			}
			reports = append(reports, report)
		}
		c.mu.Unlock()
	}
	return reports
}

// Drain begins a planned stop and waits until every session has ended or the context ends; open transactions may go on for a time.
func (p *Proxy) Drain(ctx context.Context, transactions time.Duration) {
	p.draining.Store(true)
	end := p.cfg.Now().Add(transactions)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for p.endSessions(!p.cfg.Now().Before(end))+p.held.len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endSessions ends those that rest, with their transactions if these have had their time, and returns how many are left.
func (p *Proxy) endSessions(all bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		if s.idle.Load() || all {
			s.caller.Interrupt()
		}
	}
	return len(p.sessions)
}

// drainPoll is the time between two looks at the sessions that are left.
const drainPoll = 20 * time.Millisecond

// Draining tells whether a planned stop has begun.
func (p *Proxy) Draining() bool { return p.draining.Load() }

// Sessions returns the number of open sessions.
func (p *Proxy) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}
