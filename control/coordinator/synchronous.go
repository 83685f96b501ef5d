package coordinator

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
	"lentilwind.dev/lentilwind/succession"
)

// resumeInterval is the time between two attempts to let servers receive again.
const resumeInterval = 500 * time.Millisecond

// chooseFenced chooses the server to promote where replicas confirm commits. It reports whether the former primary was stopped, and false if no
// server may be ordered now.
//
// An order rests on the log of the chosen server: no commit may be acknowledged without it, from the choice until the order is carried out,
// which may be seconds later. So the other replicas are stopped from receiving, or else the primary is stopped, before the order is sent. A
// primary that does not answer can't be stopped; it is replaced all the same.
func (p *primaryMonitor) chooseFenced(
	servers []serverRecord, former group.Server, monitored *monitoredService, reason succession.Reason,
) (best candidate, stopped, found bool) {
	best, found = p.chooseSuccessor(servers, former, monitored, reason, group.Floor{})
	if !found {
		return best, false, false
	}
	newest, fenced := p.suspendOthers(servers, best, former, monitored)
	if fenced || !p.mayStop(servers, former) {
		return best, false, p.awaitReceived(best, newest, monitored)
	}
	p.mu.Lock()
	pr := monitored.probe
	p.mu.Unlock()
	// A primary that was silent may answer again by now, and then it must stop like one that leaves.
	if pr != nil && pr.target.Server == former {
		if end, stopped := p.stopPrimary(pr, former); stopped {
			best, found = p.chooseSuccessor(servers, former, monitored, reason, end)
			return best, true, found
		}
	}
	return best, false, reason != succession.ReasonLeaving && p.awaitReceived(best, newest, monitored)
}

// suspendOthers makes the replicas other than the chosen one stop receiving, and returns the newest position at which one of them did. The
// result is true if so many have stopped that each further commit needs the chosen replica.
func (p *primaryMonitor) suspendOthers(servers []serverRecord, chosen candidate, former group.Server, monitored *monitoredService) (group.Floor, bool) {
	term := p.newOrder(chosen, monitored).After + 1
	results := make(chan *statement.Report, len(servers))
	asked := 0
	for _, s := range servers {
		if s.Name == former || s.Name == chosen.server.Name {
			continue
		}
		asked++
		p.mu.Lock()
		delete(monitored.receiving, s.Name)
		p.mu.Unlock()
		go func() {
			st := statement.Statement{ID: statement.ProxyID, Verb: statement.Suspend, Term: term}
			answer, err := queryOnce(p.c.cfg.Connector, databaseTarget(s.Server), statusTimeout, st)
			if err != nil || answer.Report == nil || answer.Report.Suspended < term {
				results <- nil
				return
			}
			results <- answer.Report
		}()
	}
	var newest group.Floor
	suspended := 0
	for range asked {
		if report := <-results; report != nil {
			suspended++
			if newest.Less(report.Received) {
				newest = report.Received
			}
		}
	}
	p.c.cfg.Log.Info().Str("server", string(chosen.server.Name)).Int("asked", asked).Int("suspended", suspended).Uint64("term", uint64(term)).
		Msg("replicasSuspended")
	return newest, asked-suspended < p.syncReplicas(servers)
}

// awaitReceived waits until the chosen replica has received what the others had when they stopped.
func (p *primaryMonitor) awaitReceived(chosen candidate, newest group.Floor, monitored *monitoredService) bool {
	p.mu.Lock()
	term := monitored.newestTerm
	p.mu.Unlock()
	end := p.c.cfg.Now().Add(catchUpTimeout)
	for newest != (group.Floor{}) {
		status := queryExactStatus(p.c.cfg.Connector, databaseTarget(chosen.server), statusTimeout, term)
		if status.Known && !status.Received.Less(newest) {
			return true
		}
		if !p.c.cfg.Now().Before(end) {
			p.c.cfg.Log.Warn().Str("server", string(chosen.server.Name)).Uint64("term", uint64(newest.Term)).
				Uint64("position", uint64(newest.Position)).Msg("successorLacksCommits")
			return false
		}
		time.Sleep(catchUpPollInterval)
	}
	return true
}

// resumeIfDue lets servers receive again that were stopped for an order that can't be carried out any more, or that a former leader may have
// stopped. It is called with the lock held.
func (p *primaryMonitor) resumeIfDue(now time.Time, name group.Service, monitored *monitoredService, servers []serverRecord) {
	if p.syncReplicas(servers) == 0 || p.fencedByLeases(name) {
		return
	}
	if monitored.receiving == nil {
		monitored.receiving = make(map[group.Server]bool)
		p.expectLateOrder(now, name, monitored)
	}
	pending := monitored.outstanding != "" && now.Before(monitored.outstandingUntil)
	if pending || monitored.promoting || monitored.resuming || now.Sub(monitored.lastResume) < resumeInterval {
		return
	}
	var stopped []serverRecord
	for _, s := range servers {
		if !monitored.receiving[s.Name] {
			stopped = append(stopped, s)
		}
	}
	if len(stopped) > 0 {
		monitored.resuming, monitored.lastResume = true, now
		go p.resume(monitored, stopped)
	}
}

// expectLateOrder records the order of a former leader that may still be on its way. It is called with the lock held.
func (p *primaryMonitor) expectLateOrder(now time.Time, name group.Service, monitored *monitoredService) {
	last := monitored.ordered
	if last.After == 0 || monitored.newestTerm > last.After {
		return
	}
	monitored.outstanding, monitored.outstandingUntil = last.Server, now.Add(lateOrderBound)
	p.c.cfg.Log.Info().Str("service", string(name)).Str("server", string(last.Server)).Uint64("after", uint64(last.After)).Msg("lateOrderExpected")
}

// resume tells servers to receive again. One that does not answer is told again later.
func (p *primaryMonitor) resume(monitored *monitoredService, servers []serverRecord) {
	for _, s := range servers {
		st := statement.Statement{ID: statement.ProxyID, Verb: statement.Resume}
		_, err := queryOnce(p.c.cfg.Connector, databaseTarget(s.Server), statusTimeout, st)
		if err != nil {
			continue
		}
		p.mu.Lock()
		monitored.receiving[s.Name] = true
		p.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	monitored.resuming = false
}
