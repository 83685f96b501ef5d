package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
	"lentilwind.dev/lentilwind/succession"
)

// Times of promotion.
const (
	// probePeriod is the time between two questions to a primary, which cost it no slot.
	probePeriod = 100 * time.Millisecond
	// probeTime is how long a primary may take to answer one.
	probeTime = 350 * time.Millisecond
	// statusTime bounds the question for a replica's position.
	statusTime = 400 * time.Millisecond
	// orderTime bounds one order; one that is carried out is answered within some 10 ms.
	orderTime = 350 * time.Millisecond
	// maxOrders is how often an order is repeated that got no answer.
	maxOrders = 6
	// takeoverTime is how long an appointed database may take to lead; databases need about 600 ms.
	takeoverTime = 1500 * time.Millisecond
	takeoverPoll = 30 * time.Millisecond
	// orderPause is the time between two orders for one service.
	orderPause = 500 * time.Millisecond
)

// sighting is one entry's report with its age.
type sighting struct {
	fleet.ServerReport
	age time.Duration
}

// promoter watches the primaries of all services for one leader's term.
type promoter struct {
	c      *Coordinator
	roster *roster

	mu       sync.Mutex
	services map[group.Service]*watched
}

// watched is one service under watch.
type watched struct {
	succession succession.Tracker
	probe      *probe
	probed     time.Time
	probing    bool
	promoting  bool
	ordered    time.Time
}

func newPromoter(c *Coordinator, r *roster) *promoter {
	return &promoter{c: c, roster: r, services: make(map[group.Service]*watched)}
}

// look asks the primaries for a sign of life and replaces those that give none or that leave.
func (p *promoter) look(ctx context.Context, now time.Time, sightings []sighting) {
	for name, servers := range p.roster.services() {
		p.mu.Lock()
		w := p.services[name]
		if w == nil {
			w = &watched{}
			p.services[name] = w
		}
		w.succession.Members = members(servers)
		for _, s := range sightings {
			w.succession.HandleEntryReport(now, s.Server, s.SinceAnswer, s.FailingFor, s.age)
		}
		p.probeDue(ctx, now, w, servers)
		reason, needed := w.succession.Decide(now)
		start := needed && !w.promoting && now.Sub(w.ordered) >= orderPause
		if start {
			w.promoting = true
		}
		p.mu.Unlock()
		if start {
			go p.replace(ctx, name, w, reason)
		}
	}
}

func members(servers []known) []succession.Member {
	out := make([]succession.Member, 0, len(servers))
	for _, s := range servers {
		out = append(out, succession.Member{Server: s.Name, Incarnation: s.Incarnation, Primary: s.Primary, Leaving: s.Leaving, AnnouncedAt: s.heard})
	}
	return out
}

// probeDue asks the primary whether it leads, on a connection that is kept.
func (p *promoter) probeDue(ctx context.Context, now time.Time, w *watched, servers []known) {
	primary := w.succession.Primary()
	if primary == "" || w.probing || w.promoting || now.Sub(w.probed) < probePeriod {
		return
	}
	for _, s := range servers {
		if s.Name != primary {
			continue
		}
		if w.probe == nil || w.probe.target.Server != s.Name || w.probe.target.Address != s.Address {
			if w.probe != nil {
				w.probe.close()
			}
			w.probe = &probe{connector: p.c.cfg.Connector, target: target(s.Server)}
		}
		w.probing, w.probed = true, now
		go p.ask(w, w.probe)
	}
	if ctx.Err() != nil && w.probe != nil {
		w.probe.close()
	}
}

func target(s fleet.Server) database.Target {
	return database.Target{Address: s.Address, Service: s.Service, Server: s.Name, Workspace: ownWorkspace}
}

// ownWorkspace stands for control where a database asks who connects.
const ownWorkspace = "-"

func (p *promoter) ask(w *watched, pr *probe) {
	sent := p.c.cfg.Now()
	result := pr.leads(probeTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.probing = false
	w.succession.HandleProbe(pr.target.Server, sent, p.c.cfg.Now(), result)
}

// replace appoints the best replica of a service.
func (p *promoter) replace(ctx context.Context, name group.Service, w *watched, reason succession.Reason) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.promoting, w.ordered = false, p.c.cfg.Now()
	}()
	servers := p.roster.services()[name]
	best, position, found := p.choose(servers, w, reason)
	if !found {
		return
	}
	began := p.c.cfg.Now()
	p.mu.Lock()
	replaced := w.succession.Primary()
	p.mu.Unlock()
	err := p.orderRepeatedly(ctx, name, best, replaced, reason)
	if err != nil && !errors.Is(err, ErrNoResponse) {
		return
	}
	if reason == succession.ReasonLeaving && err == nil {
		p.demote(servers, replaced, position)
	}
	took := p.awaitTakeover(ctx, name, best, w)
	p.c.cfg.Log.Info().Str("service", string(name)).Str("server", string(best.Name)).Bool("leads", took).
		Int64("tookMs", p.c.cfg.Now().Sub(began).Milliseconds()).Msg("promotionEnded")
}

// demote stops the writes of a primary that leaves, so that its successor receives all of them before it takes over.
func (p *promoter) demote(servers []known, replaced group.Server, position group.Floor) {
	for _, s := range servers {
		if s.Name != replaced {
			continue
		}
		st := statement.Statement{ID: statement.Own, Verb: statement.Demote, Term: position.Term + 1}
		answer, err := askOnce(p.c.cfg.Connector, target(s.Server), statusTime, st)
		p.c.cfg.Log.Info().Err(err).Str("server", string(s.Name)).Str("outcome", string(answer.Outcome)).
			Uint64("term", uint64(st.Term)).Msg("primaryDemoted")
	}
}

// orderRepeatedly gives an order until it is answered, each time with a higher token: whatever is carried out late then is refused.
func (p *promoter) orderRepeatedly(ctx context.Context, name group.Service, best fleet.Server, replaced group.Server, reason succession.Reason) error {
	var err error
	for attempt := range maxOrders {
		err = p.order(ctx, name, best)
		p.c.cfg.Log.Info().Err(err).Str("service", string(name)).Str("server", string(best.Name)).Str("replaces", string(replaced)).
			Str("reason", string(reason)).Int("attempt", attempt+1).Msg("promotionOrdered")
		if !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// order journals the decision, so that its token is never used for another one, and then gives the order.
func (p *promoter) order(ctx context.Context, name group.Service, best fleet.Server) error {
	deciding, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	a := appointment{Service: name, Server: best.Name, Holder: p.c.cfg.Instance}
	token, err := p.c.propose(deciding, command{Appointment: &a})
	if err != nil {
		return err
	}
	ordering, done := context.WithTimeout(ctx, orderTime)
	defer done()
	return p.c.cfg.Promoter.Promote(ordering, PromotionOrder{Service: name, Server: best.Name, Holder: a.Holder, Token: uint64(token)})
}

// candidate is a database that may take over.
type candidate struct {
	server fleet.Server
	standing
}

// choose asks the replicas for their positions and returns the one that has received the most.
//
// Where commits wait for replicas, a commit may be on as few as that many of them; so no more may stay silent than leave one
// that has it among those that answer.
func (p *promoter) choose(servers []known, w *watched, reason succession.Reason) (fleet.Server, group.Floor, bool) {
	p.mu.Lock()
	primary := w.succession.Primary()
	p.mu.Unlock()
	confirmed := p.confirmations(servers)
	results := make(chan candidate, len(servers))
	asked := 0
	for _, s := range servers {
		if s.Name == primary || s.Leaving && confirmed == 0 {
			continue
		}
		asked++
		go func() { results <- candidate{s.Server, standingOf(p.c.cfg.Connector, target(s.Server), statusTime)} }()
	}
	var best candidate
	silent := 0
	for range asked {
		found := <-results
		if !found.Known {
			silent++
		} else if !best.Known || best.Received.Less(found.Received) {
			best = found
		}
	}
	ok := best.Known && (confirmed == 0 || silent < confirmed)
	if !ok {
		p.c.cfg.Log.Warn().Str("reason", string(reason)).Int("asked", asked).Int("silent", silent).Int("confirmed", confirmed).
			Msg("noReplicaToPromote")
	}
	return best.server, best.Received, ok
}

// confirmations returns how many replicas hold a commit of the service before it is acknowledged.
func (p *promoter) confirmations(servers []known) int {
	current := p.c.policy.Load()
	if current == nil || len(servers) == 0 {
		return 0
	}
	if service := current.Services[servers[0].Service]; service != nil {
		return service.SyncReplicas
	}
	return 0
}

// awaitTakeover waits until the appointed database leads.
func (p *promoter) awaitTakeover(ctx context.Context, name group.Service, best fleet.Server, w *watched) bool {
	pr := &probe{connector: p.c.cfg.Connector, target: target(best)}
	defer pr.close()
	end := p.c.cfg.Now().Add(takeoverTime)
	for ctx.Err() == nil && p.c.cfg.Now().Before(end) {
		sent := p.c.cfg.Now()
		if pr.leads(probeTime) == succession.ProbePrimary {
			now := p.c.cfg.Now()
			p.mu.Lock()
			w.succession.MarkPromoted(best.Name, now)
			w.succession.HandleProbe(best.Name, sent, now, succession.ProbePrimary)
			p.mu.Unlock()
			p.roster.appoint(now, name, best.Name)
			p.c.leader.changed.notify()
			return true
		}
		time.Sleep(takeoverPoll)
	}
	return false
}
