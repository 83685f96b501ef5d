package coordinator

import (
	"context"
	"errors"
	"time"

	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
	"lentilwind.dev/lentilwind/succession"
)

// Times of replacing a primary that nobody else stops.
const (
	// fencePollInterval is the time between two checks whether all entries have given up the former primary.
	fencePollInterval = 5 * time.Millisecond
	// lateOrderBound is how long after its sending an unanswered order may still be carried out.
	lateOrderBound = 12 * time.Second
	// catchUpTimeout limits the wait until a replica has received all commits of a primary that was stopped in order.
	catchUpTimeout      = 250 * time.Millisecond
	catchUpPollInterval = 10 * time.Millisecond
)

// fencedByLeases reports whether a replaced primary of the service goes on accepting writes.
func (p *primaryMonitor) fencedByLeases(name group.Service) bool {
	current := p.c.policy.Load()
	if current == nil {
		return false
	}
	service := current.Services[name]
	return service != nil && service.Fencing == policy.FencedByLeases
}

// updateDesignated passes the designated primary to the tracker. If there is none yet, it designates the server that announces itself as the
// primary, and reports false.
func (p *primaryMonitor) updateDesignated(ctx context.Context, name group.Service, monitored *monitoredService) bool {
	recorded, found := p.c.state.Load().Promotions[name]
	if found && !recorded.Settled && !monitored.known {
		monitored.outstanding, monitored.outstandingUntil = recorded.Server, p.c.cfg.Now().Add(lateOrderBound)
	}
	monitored.known = true
	if found {
		monitored.succession.Designated, monitored.succession.Suspended = recorded.Server, recorded.Suspended
		return true
	}
	announced := monitored.succession.Primary()
	if announced == "" || monitored.promoting {
		return false
	}
	monitored.promoting = true
	go func() {
		defer p.endPromotion(monitored)
		_, err := p.designate(ctx, promotion{Service: name, Server: announced, Holder: p.c.cfg.Instance, Settled: true})
		p.c.cfg.Log.Info().Err(err).Str("service", string(name)).Str("server", string(announced)).Msg("primaryDesignated")
	}()
	return false
}

// designate records the server that may be used as the primary. The returned token is never used for another order.
func (p *primaryMonitor) designate(ctx context.Context, decision promotion) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	token, err := p.c.propose(ctx, command{Promotion: &decision})
	return uint64(token), err
}

// replaceByLeases replaces a primary that nobody else stops. The successor is ordered only when the former primary has confirmed that it
// stopped, or when no entry uses it any more.
func (p *primaryMonitor) replaceByLeases(ctx context.Context, name group.Service, monitored *monitoredService, reason succession.Reason) {
	defer p.endPromotion(monitored)
	start := p.c.cfg.Now()
	servers := p.roster.liveByService()[name]
	p.mu.Lock()
	former, pr := monitored.succession.Primary(), monitored.probe
	p.mu.Unlock()
	var stopped group.Floor
	inOrder := reason == succession.ReasonLeaving && pr != nil && pr.target.Server == former && p.mayStop(servers, former)
	if inOrder {
		stopped, inOrder = p.stopPrimary(pr, former)
	}
	if !inOrder && !p.revoke(ctx, name, reason) {
		return
	}
	best, found := p.chooseSuccessor(servers, former, monitored, reason, stopped)
	if !found {
		return
	}
	order := p.newOrder(best, monitored)
	decision := promotion{Service: name, Server: order.Server, Holder: p.c.cfg.Instance, Drain: inOrder, After: order.After}
	token, err := p.designate(ctx, decision)
	if err != nil {
		return
	}
	before := p.setOrdered(monitored, order)
	fencedAt := p.c.cfg.Now()
	attempts, err := p.order(ctx, decision, token, monitored, reason)
	if err != nil && !errors.Is(err, ErrNoResponse) {
		if errors.Is(err, ErrFenced) && attempts == 1 {
			p.setOrdered(monitored, before)
		}
		return
	}
	leads := p.awaitTakeover(ctx, name, best.server, best.Received.Term, monitored)
	if leads && attempts == 1 && err == nil {
		p.settle(ctx, name, token)
	}
	p.c.cfg.Log.Info().Str("service", string(name)).Str("server", string(best.server.Name)).Str("replaces", string(former)).Bool("leads", leads).
		Str("reason", string(reason)).Bool("inOrder", inOrder).Int64("fenceMs", fencedAt.Sub(start).Milliseconds()).
		Int64("tookMs", p.c.cfg.Now().Sub(start).Milliseconds()).Msg("promotionEnded")
}

// mayStop reports whether a server may still be sent an order to stop leading, which it may not after the evacuation of its data centre.
func (p *primaryMonitor) mayStop(servers []serverRecord, former group.Server) bool {
	for _, s := range servers {
		if s.Name == former {
			return p.c.evacuationUse(s.DataCentre) != evacuation.Withdrawn
		}
	}
	return false
}

// settle records that no order of a promotion is outstanding, so that a later leader may choose another server at once.
func (p *primaryMonitor) settle(ctx context.Context, name group.Service, token uint64) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := p.c.propose(ctx, command{Settlement: &settlement{Service: name, Token: journal.Index(token)}}); err != nil {
		p.c.cfg.Log.Warn().Err(err).Str("service", string(name)).Msg("promotionNotSettled")
	}
}

// stopPrimary makes a reachable primary a replica. It returns the primary's last position, and false if the primary has not confirmed.
func (p *primaryMonitor) stopPrimary(pr *probe, former group.Server) (group.Floor, bool) {
	term := pr.lastTerm() + 1
	answer, err := pr.query(statusTimeout, statement.Statement{ID: statement.ProxyID, Verb: statement.Demote, Term: term})
	stopped := err == nil && answer.Outcome == statement.Done && answer.Report != nil && !answer.Report.Primary
	p.c.cfg.Log.Info().Err(err).Str("server", string(former)).Bool("stopped", stopped).Uint64("term", uint64(term)).
		Msg("primaryDemoted")
	if !stopped {
		return group.Floor{}, false
	}
	return answer.Report.Received, true
}

// revoke ends the right to use the present primary, and waits until no entry uses it any more.
func (p *primaryMonitor) revoke(ctx context.Context, name group.Service, reason succession.Reason) bool {
	recorded := p.c.state.Load().Promotions[name]
	if !recorded.Suspended {
		proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := p.c.propose(proposeCtx, command{Suspension: &suspension{Service: name, Drain: reason == succession.ReasonLeaving}}); err != nil {
			return false
		}
		recorded = p.c.state.Load().Promotions[name]
	}
	start := p.c.cfg.Now()
	for ctx.Err() == nil {
		holders, since, leads := p.c.leader.leaseHolders()
		if current := p.c.state.Load().Promotions[name]; !leads || !current.Suspended || current.Epoch != recorded.Epoch {
			return false
		}
		fence := succession.Fence{Epoch: recorded.Epoch, Lease: primaryLease, LeaderSince: since}
		if now := p.c.cfg.Now(); !now.Before(fence.ClearAt(holders)) {
			p.c.cfg.Log.Info().Str("service", string(name)).Str("server", string(recorded.Server)).Int("entries", len(holders)).
				Int64("waitedMs", now.Sub(start).Milliseconds()).Msg("primaryRevoked")
			return true
		}
		time.Sleep(fencePollInterval)
	}
	return false
}

// chooseSuccessor chooses the server to promote. While an unanswered order may still be carried out, only its server is chosen: otherwise
// two servers could be promoted.
func (p *primaryMonitor) chooseSuccessor(
	servers []serverRecord, former group.Server, monitored *monitoredService, reason succession.Reason, stopped group.Floor,
) (candidate, bool) {
	now := p.c.cfg.Now()
	p.mu.Lock()
	outstanding := monitored.outstanding
	if !now.Before(monitored.outstandingUntil) {
		outstanding = ""
	}
	p.mu.Unlock()
	for _, s := range servers {
		if s.Name == outstanding {
			return candidate{server: s.Server}, true
		}
	}
	if outstanding != "" {
		p.c.cfg.Log.Warn().Str("server", string(outstanding)).Str("reason", string(reason)).Msg("successorAwaitsLateOrder")
		return candidate{}, false
	}
	excluded := group.Server("")
	if reason == succession.ReasonLeaving || reason == succession.ReasonSilent {
		excluded = former
	}
	end := now.Add(catchUpTimeout)
	for {
		best, found := p.chooseReplica(servers, excluded, monitored, reason)
		if !found || !best.Received.Less(stopped) || !p.c.cfg.Now().Before(end) {
			return best, found
		}
		time.Sleep(catchUpPollInterval)
	}
}

// order sends one order until it is answered. All attempts have the same token, so the platform sees no token lower than an earlier one.
func (p *primaryMonitor) order(ctx context.Context, decision promotion, token uint64, monitored *monitoredService, reason succession.Reason) (attempts int, err error) {
	for attempt := range maxPromoteAttempts {
		if _, leads := p.c.leading(); !leads {
			return attempt, ErrFenced
		}
		promoteCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
		err = p.c.cfg.Promoter.Promote(promoteCtx, PromotionOrder{Service: decision.Service, Server: decision.Server, Holder: decision.Holder, Token: token})
		cancel()
		p.c.cfg.Log.Info().Err(err).Str("service", string(decision.Service)).Str("server", string(decision.Server)).Uint64("token", token).
			Str("reason", string(reason)).Int("attempt", attempt+1).Msg("promotionOrdered")
		if !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
			return attempt + 1, err
		}
		p.mu.Lock()
		monitored.outstanding, monitored.outstandingUntil = decision.Server, p.c.cfg.Now().Add(lateOrderBound)
		p.mu.Unlock()
	}
	return maxPromoteAttempts, err
}
