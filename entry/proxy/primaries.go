package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/statement"
	"lentilwind.dev/lentilwind/succession"
)

// drainTimeout limits the wait for writes in flight to a primary that was stopped in order.
const drainTimeout = 150 * time.Millisecond

// Designations returns the newest table of designated primaries that this entry obeys.
func (p *Proxy) Designations() fleet.Epoch { return p.authority.Version() }

// SetDesignations obeys a newer table of designated primaries. It returns when no write to a former primary is acknowledged any more.
func (p *Proxy) SetDesignations(table fleet.Designations) {
	pending := p.authority.Apply(table, p.cfg.Now())
	p.wakeWaiting()
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	for _, drained := range pending {
		select {
		case <-drained:
		case <-timer.C:
			timer.Reset(0)
		}
	}
	p.authority.Confirm()
	p.cfg.Log.Info().Uint64("epoch", uint64(table.Version)).Int("services", len(table.List)).Int("drained", len(pending)).
		Msg("designationsApplied")
}

// wakeWaiting wakes the requests that wait for a primary.
func (p *Proxy) wakeWaiting() {
	for _, c := range *p.clusters.Load() {
		c.mu.Lock()
		c.notify()
		c.mu.Unlock()
	}
}

// ExtendPrimaryLease extends the time until which the designated primaries may be used.
func (p *Proxy) ExtendPrimaryLease(until time.Time) { p.authority.Extend(until) }

// primaryWrite is a write in flight to a primary, whose success may be acknowledged only while that primary is the only one.
type primaryWrite struct {
	authority *succession.Authority
	leased    succession.Write
}

// beginWrite returns a write to a server, and false if the server may not be used as the primary now. Each write must be ended.
func (c *cluster) beginWrite(p *pool, now time.Time) (primaryWrite, bool) {
	if !c.fencedByLeases.Load() {
		return primaryWrite{}, true
	}
	leased, ok := c.authority.BeginWrite(c.name, p.serverName(), now)
	return primaryWrite{authority: c.authority, leased: leased}, ok
}

// end ends the write. It reports whether a success may be acknowledged.
func (w primaryWrite) end(now time.Time) bool {
	return w.authority == nil || w.authority.EndWrite(w.leased, now)
}

// mayLead reports whether a server may be used as the primary now.
func (c *cluster) mayLead(p *pool, now time.Time) bool {
	return !c.fencedByLeases.Load() || c.authority.Primary(c.name, now) == p.serverName()
}

// leaseLapsed reports whether this entry may use no primary because it has lost control.
func (c *cluster) leaseLapsed(now time.Time) bool {
	return c.fencedByLeases.Load() && c.authority.Lapsed(now)
}

// replacedResult is the result of work on a server that this entry may not use as the primary.
func replacedResult() forward.Result {
	return failureResult(forward.NotSent, "the primary is being replaced")
}

// unconfirmedAnswer is the answer to a write that succeeded at a server that had possibly been replaced by then.
func unconfirmedAnswer(state statement.State) statement.Answer {
	return statement.FailureAnswer(statement.Unknown, "the primary was replaced while the write ran", state)
}
