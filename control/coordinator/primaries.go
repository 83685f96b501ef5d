package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
	"lentilwind.dev/lentilwind/succession"
)

// Intervals and timeouts of probes and promotions.
const (
	// probeInterval is the time between two probes of a primary; a probe takes no slot there.
	probeInterval = 100 * time.Millisecond
	// probeTimeout is how long a primary may take to answer a probe.
	probeTimeout = 350 * time.Millisecond
	// statusTimeout limits the query for a replica's position.
	statusTimeout = 400 * time.Millisecond
	// busyRetryTime is how long replicas are asked again that are too busy to report the end of their logs, with busyRetryInterval between.
	busyRetryTime     = 100 * time.Millisecond
	busyRetryInterval = 10 * time.Millisecond
	// promoteTimeout limits one promotion request; a successful one is answered within about 10 ms.
	promoteTimeout = 350 * time.Millisecond
	// maxPromoteAttempts limits the attempts of a promotion request that gets no response.
	maxPromoteAttempts = 6
	// takeoverTimeout is how long a promoted database may take to become the primary; databases need about 600 ms.
	takeoverTimeout      = 1500 * time.Millisecond
	takeoverPollInterval = 30 * time.Millisecond
	// promotionCooldown is the minimum time between two promotions for one service.
	promotionCooldown = 500 * time.Millisecond
)

// agedReport is one entry's report on a server with its age.
type agedReport struct {
	fleet.ServerReport
	age time.Duration
}

// primaryMonitor watches the primaries of all services during one leader term.
type primaryMonitor struct {
	c      *Coordinator
	roster *roster

	mu       sync.Mutex
	services map[group.Service]*monitoredService
}

// monitoredService is the failure detection and promotion state of one service.
type monitoredService struct {
	succession    succession.Tracker
	probe         *probe
	lastProbe     time.Time
	probing       bool
	promoting     bool
	lastPromotion time.Time
	// newestTerm is the highest term that a primary was seen to lead.
	newestTerm group.Term
	// ordered is the last order of a promotion, which may have been carried out although nobody saw the new term yet.
	ordered succession.Order
	// known is set once the recorded promotion of this service was read.
	known bool
	// outstanding is a server whose last order got no answer, so that the order may be carried out until outstandingUntil.
	outstanding      group.Server
	outstandingUntil time.Time
	// receiving holds the servers that are known to receive: neither this leader nor a former one has stopped them. It is nil until the
	// service is first looked at.
	receiving map[group.Server]bool
	// resuming is true while servers are told to receive again, and lastResume is when that last began.
	resuming   bool
	lastResume time.Time
}

func newPrimaryMonitor(c *Coordinator, r *roster) *primaryMonitor {
	return &primaryMonitor{c: c, roster: r, services: make(map[group.Service]*monitoredService)}
}

// newMonitoredService returns the state of a service from what former leaders have recorded.
func newMonitoredService(recorded *state, name group.Service) *monitoredService {
	last := recorded.Promotions[name]
	return &monitoredService{newestTerm: recorded.Terms[name], ordered: succession.Order{Server: last.Server, After: last.After}}
}

// check probes the primaries and starts the replacement of those that are silent or leaving.
func (p *primaryMonitor) check(ctx context.Context, now time.Time, reports []agedReport) {
	for name, servers := range p.roster.liveByService() {
		p.mu.Lock()
		monitored := p.services[name]
		if monitored == nil {
			monitored = newMonitoredService(p.c.state.Load(), name)
			p.services[name] = monitored
		}
		monitored.succession.Members = successionMembers(servers, p.c.state.Load().Evacuated)
		if p.fencedByLeases(name) && !p.updateDesignated(ctx, name, monitored) {
			p.mu.Unlock()
			continue
		}
		for _, s := range reports {
			monitored.succession.HandleEntryReport(now, s.Server, s.SinceAnswer, s.FailingFor, s.age)
		}
		p.probeIfDue(ctx, now, monitored, servers)
		p.resumeIfDue(now, name, monitored, servers)
		reason, needed := monitored.succession.Decide(now)
		start := needed && !monitored.promoting && !monitored.resuming && now.Sub(monitored.lastPromotion) >= promotionCooldown
		if start {
			monitored.promoting = true
		}
		p.mu.Unlock()
		switch {
		case !start:
		case p.fencedByLeases(name):
			go p.replaceByLeases(ctx, name, monitored, reason)
		default:
			go p.replacePrimary(ctx, name, monitored, reason)
		}
	}
}

// successionMembers returns the members of a service. Those in an evacuated data centre count as leaving, so a primary there is handed over.
func successionMembers(servers []serverRecord, evacuated evacuation.Set) []succession.Member {
	out := make([]succession.Member, 0, len(servers))
	for _, s := range servers {
		out = append(out, succession.Member{
			Server: s.Name, Incarnation: s.Incarnation, Primary: s.Primary, Leaving: s.Leaving || evacuated.Contains(s.DataCentre), AnnouncedAt: s.lastAnnounced,
		})
	}
	return out
}

// probeIfDue starts a probe of the primary if the last one is old enough.
func (p *primaryMonitor) probeIfDue(ctx context.Context, now time.Time, monitored *monitoredService, servers []serverRecord) {
	primary := monitored.succession.Primary()
	if primary == "" || monitored.probing || monitored.promoting || now.Sub(monitored.lastProbe) < probeInterval {
		return
	}
	for _, s := range servers {
		if s.Name != primary || p.c.evacuationUse(s.DataCentre) == evacuation.Withdrawn {
			continue
		}
		if monitored.probe == nil || monitored.probe.target.Server != s.Name || monitored.probe.target.Address != s.Address {
			if monitored.probe != nil {
				monitored.probe.close()
			}
			monitored.probe = &probe{connector: p.c.cfg.Connector, target: databaseTarget(s.Server)}
		}
		monitored.probing, monitored.lastProbe = true, now
		go p.runProbe(monitored, monitored.probe)
	}
	if ctx.Err() != nil && monitored.probe != nil {
		monitored.probe.close()
	}
}

func databaseTarget(s fleet.Server) database.Target {
	return database.Target{Address: s.Address, Service: s.Service, Server: s.Name, Workspace: controlWorkspace}
}

// controlWorkspace is the workspace that control sends when it connects to a database.
const controlWorkspace = "-"

func (p *primaryMonitor) runProbe(monitored *monitoredService, pr *probe) {
	sent := p.c.cfg.Now()
	result := pr.checkRole(probeTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	monitored.probing = false
	monitored.newestTerm = max(monitored.newestTerm, pr.lastTerm())
	monitored.succession.HandleProbe(pr.target.Server, sent, p.c.cfg.Now(), result)
}

// unrecordedTerms returns the terms that are newer than the recorded ones, or nil if there are none.
func (p *primaryMonitor) unrecordedTerms(recorded map[group.Service]group.Term) map[group.Service]group.Term {
	p.mu.Lock()
	defer p.mu.Unlock()
	var terms map[group.Service]group.Term
	for name, monitored := range p.services {
		if monitored.newestTerm <= recorded[name] {
			continue
		}
		if terms == nil {
			terms = make(map[group.Service]group.Term)
		}
		terms[name] = monitored.newestTerm
	}
	return terms
}

// endPromotion allows the next replacement of a primary.
func (p *primaryMonitor) endPromotion(monitored *monitoredService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	monitored.promoting, monitored.lastPromotion = false, p.c.cfg.Now()
}

// replacePrimary promotes the most up-to-date replica of a service.
func (p *primaryMonitor) replacePrimary(ctx context.Context, name group.Service, monitored *monitoredService, reason succession.Reason) {
	defer p.endPromotion(monitored)
	servers := p.roster.liveByService()[name]
	p.mu.Lock()
	replaced := monitored.succession.Primary()
	p.mu.Unlock()
	var best candidate
	var found, stopped bool
	if p.syncReplicas(servers) > 0 {
		best, stopped, found = p.chooseFenced(servers, replaced, monitored, reason)
	} else {
		best, found = p.chooseReplica(servers, replaced, monitored, reason)
	}
	if !found {
		return
	}
	start := p.c.cfg.Now()
	err := p.promoteWithRetries(ctx, name, best, monitored, replaced, reason)
	if err != nil && !errors.Is(err, ErrNoResponse) {
		return
	}
	if reason == succession.ReasonLeaving && err == nil && !stopped {
		p.demotePrimary(servers, replaced, p.newOrder(best, monitored).After+1)
	}
	after := best.Received.Term
	if best.Leads {
		// The platform keeps a replaced server from leading, so this one leads already and stays in its term.
		after = 0
	}
	leads := p.awaitTakeover(ctx, name, best.server, after, monitored)
	if leads {
		p.noteAnswer(monitored, best.server.Name, nil)
	}
	p.c.cfg.Log.Info().Str("service", string(name)).Str("server", string(best.server.Name)).Bool("leads", leads).
		Int64("tookMs", p.c.cfg.Now().Sub(start).Milliseconds()).Msg("promotionEnded")
}

// demotePrimary stops writes on a leaving primary, so that its successor receives all of them before it takes over.
func (p *primaryMonitor) demotePrimary(servers []serverRecord, replaced group.Server, term group.Term) {
	for _, s := range servers {
		if s.Name != replaced || p.c.evacuationUse(s.DataCentre) == evacuation.Withdrawn {
			continue
		}
		st := statement.Statement{ID: statement.ProxyID, Verb: statement.Demote, Term: term}
		answer, err := queryOnce(p.c.cfg.Connector, databaseTarget(s.Server), statusTimeout, st)
		p.c.cfg.Log.Info().Err(err).Str("server", string(s.Name)).Str("outcome", string(answer.Outcome)).
			Uint64("term", uint64(st.Term)).Msg("primaryDemoted")
	}
}

// promoteWithRetries repeats a promotion request until it is answered. Each attempt has a higher token, so that an earlier one that
// is carried out late is refused.
func (p *primaryMonitor) promoteWithRetries(
	ctx context.Context, name group.Service, best candidate, monitored *monitoredService, replaced group.Server, reason succession.Reason,
) error {
	order := p.newOrder(best, monitored)
	before := p.setOrdered(monitored, order)
	var err error
	for attempt := range maxPromoteAttempts {
		err = p.promoteOnce(ctx, name, order)
		p.c.cfg.Log.Info().Err(err).Str("service", string(name)).Str("server", string(order.Server)).Str("replaces", string(replaced)).
			Str("reason", string(reason)).Int("attempt", attempt+1).Msg("promotionOrdered")
		if errors.Is(err, ErrFenced) && attempt == 0 {
			p.setOrdered(monitored, before)
		}
		p.noteAnswer(monitored, order.Server, err)
		if !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// noteAnswer records whether an order may still be carried out. An accepted one has a higher token than all earlier ones, so that those are
// refused.
func (p *primaryMonitor) noteAnswer(monitored *monitoredService, server group.Server, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		monitored.outstanding = ""
	case errors.Is(err, ErrNoResponse):
		monitored.outstanding, monitored.outstandingUntil = server, p.c.cfg.Now().Add(lateOrderBound)
	}
}

// newOrder returns the order to promote a candidate. The newest term may be one that control has not seen and that left no commit.
func (p *primaryMonitor) newOrder(best candidate, monitored *monitoredService) succession.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return succession.Order{Server: best.server.Name, After: max(monitored.newestTerm, best.Term, best.Received.Term)}
}

// setOrdered records an order that is about to be sent, and returns the previous one, which is restored if the order is refused.
func (p *primaryMonitor) setOrdered(monitored *monitoredService, order succession.Order) succession.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := monitored.ordered
	monitored.ordered = order
	return before
}

// promoteOnce records the decision in the replicated log and then sends the request. So its token is never reused, and the next leader knows
// that the server may lead a term that nobody has seen.
func (p *primaryMonitor) promoteOnce(ctx context.Context, name group.Service, order succession.Order) error {
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	decision := promotion{Service: name, Server: order.Server, Holder: p.c.cfg.Instance, After: order.After}
	token, err := p.c.propose(proposeCtx, command{Promotion: &decision})
	if err != nil {
		return err
	}
	promoteCtx, cancelPromote := context.WithTimeout(ctx, promoteTimeout)
	defer cancelPromote()
	return p.c.cfg.Promoter.Promote(promoteCtx, PromotionOrder{Service: name, Server: order.Server, Holder: decision.Holder, Token: uint64(token)})
}

// candidate is a replica that may be promoted.
type candidate struct {
	server fleet.Server
	replicaStatus
}

// chooseReplica queries the positions of all servers but one, the former primary, and returns the one whose log is the newest.
//
// With synchronous replication, an acknowledged commit may be on as few as syncReplicas replicas. So fewer replicas than that may
// be silent, and the end of each other log must be known: otherwise it is possible that the chosen replica lacks the commit.
func (p *primaryMonitor) chooseReplica(servers []serverRecord, former group.Server, monitored *monitoredService, reason succession.Reason) (candidate, bool) {
	syncReplicas := p.syncReplicas(servers)
	retryUntil := p.c.cfg.Now().Add(busyRetryTime)
	for {
		asked := p.askReplicas(servers, former, monitored, reason, syncReplicas)
		p.mu.Lock()
		newest, ordered := monitored.newestTerm, monitored.ordered
		p.mu.Unlock()
		best, ok := succession.ChooseSuccessor(newest, ordered, asked.candidates)
		uncertain := succession.MayBeNewer(best, asked.candidates)
		if uncertain && p.c.cfg.Now().Before(retryUntil) {
			time.Sleep(busyRetryInterval)
			continue
		}
		ok = ok && (syncReplicas == 0 || asked.silent < syncReplicas && !uncertain)
		p.logPositions(asked)
		if !ok {
			p.c.cfg.Log.Warn().Str("reason", string(reason)).Int("asked", len(asked.answers)).Int("silent", asked.silent).Int("confirmed", syncReplicas).
				Bool("uncertain", uncertain).Uint64("term", uint64(newest)).Str("ordered", string(ordered.Server)).Uint64("after", uint64(ordered.After)).
				Msg("noReplicaToPromote")
		}
		return asked.answers[best.Server], ok
	}
}

// positions is what the servers of a service have answered when they were asked for the ends of their logs.
type positions struct {
	candidates []succession.Candidate
	answers    map[group.Server]candidate
	// silent is the number of servers that were not asked or have not answered.
	silent int
}

// askReplicas asks all servers but the former primary for the ends of their logs.
func (p *primaryMonitor) askReplicas(
	servers []serverRecord, former group.Server, monitored *monitoredService, reason succession.Reason, syncReplicas int,
) positions {
	p.mu.Lock()
	newest := monitored.newestTerm
	p.mu.Unlock()
	results := make(chan candidate, len(servers))
	asked := 0
	found := positions{answers: make(map[group.Server]candidate, len(servers))}
	evacuated := p.c.state.Load().Evacuated
	for _, s := range servers {
		if s.Name != former && evacuated.Contains(s.DataCentre) {
			// Nothing is sent to an evacuated data centre, so its replicas count as silent.
			found.candidates = append(found.candidates, succession.Candidate{Server: s.Name})
			found.silent++
			continue
		}
		if s.Name == former && reason == succession.ReasonSilent {
			found.candidates = append(found.candidates, succession.Candidate{Server: s.Name})
		}
		if s.Name == former || s.Leaving && syncReplicas == 0 {
			continue
		}
		asked++
		go func() { results <- candidate{s.Server, p.askReplica(s.Server, newest, syncReplicas)} }()
	}
	for range asked {
		answer := <-results
		found.answers[answer.server.Name] = answer
		found.candidates = append(found.candidates, succession.Candidate{
			Server: answer.server.Name, Answered: answer.Known, Received: answer.Received, AtLeast: answer.AtLeast,
		})
		if !answer.Known {
			found.silent++
		}
	}
	return found
}

// askReplica asks a replica for the end of its log, which must be known where replicas confirm commits.
func (p *primaryMonitor) askReplica(s fleet.Server, newest group.Term, syncReplicas int) replicaStatus {
	if syncReplicas == 0 {
		return queryReplicaStatus(p.c.cfg.Connector, databaseTarget(s), statusTimeout)
	}
	return queryExactStatus(p.c.cfg.Connector, databaseTarget(s), statusTimeout, newest)
}

// logPositions logs on what a choice rests.
func (p *primaryMonitor) logPositions(asked positions) {
	for _, a := range asked.answers {
		p.c.cfg.Log.Info().Str("server", string(a.server.Name)).Bool("answered", a.Known).Bool("atLeast", a.AtLeast).
			Uint64("term", uint64(a.Received.Term)).Uint64("position", uint64(a.Received.Position)).Msg("replicaPosition")
	}
}

// syncReplicas returns how many replicas must hold a commit of the service before it is acknowledged.
func (p *primaryMonitor) syncReplicas(servers []serverRecord) int {
	current := p.c.policy.Load()
	if current == nil || len(servers) == 0 {
		return 0
	}
	if service := current.Services[servers[0].Service]; service != nil {
		return service.SyncReplicas
	}
	return 0
}

// awaitTakeover waits until the promoted database is the primary of a later term than the given one. In that one it may have led before.
func (p *primaryMonitor) awaitTakeover(ctx context.Context, name group.Service, best fleet.Server, after group.Term, monitored *monitoredService) bool {
	pr := &probe{connector: p.c.cfg.Connector, target: databaseTarget(best)}
	defer pr.close()
	end := p.c.cfg.Now().Add(takeoverTimeout)
	for ctx.Err() == nil && p.c.cfg.Now().Before(end) {
		sent := p.c.cfg.Now()
		if pr.checkRole(probeTimeout) == succession.ProbePrimary && pr.lastTerm() > after {
			now := p.c.cfg.Now()
			p.mu.Lock()
			monitored.newestTerm = max(monitored.newestTerm, pr.lastTerm())
			monitored.succession.MarkPromoted(best.Name, now)
			monitored.succession.HandleProbe(best.Name, sent, now, succession.ProbePrimary)
			p.mu.Unlock()
			p.roster.setPrimary(now, name, best.Name)
			p.c.leader.changed.notify()
			return true
		}
		time.Sleep(takeoverPollInterval)
	}
	return false
}
