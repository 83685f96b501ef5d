package proxy

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// drainedRetryAfter is the time after which a caller may come back when the primary leaves and nothing has replaced it. Control repeats a
// failed promotion within it.
const drainedRetryAfter = time.Second

// errDrained means that a server has been leaving for so long that it gets no new work.
var errDrained = fmt.Errorf("proxy: the database is leaving and no other has replaced it; retry after %d ms", drainedRetryAfter.Milliseconds())

// drained reports whether the server has been leaving for longer than it may get new work. If nobody knows since when, that may be any time.
func (p *pool) drained(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return limit > 0 && p.server.Leaving && (p.leavingSince.IsZero() || now.Sub(p.leavingSince) >= limit)
}

// primaryDrained reports whether the only known primary gets no new work because it is leaving. The designated one counts alone, if there is
// one. It is called with the lock held.
func (c *cluster) primaryDrained(now time.Time, designated group.Server) bool {
	drained := false
	for id, p := range c.pools {
		if designated != "" && id != designated || designated == "" && id != c.primary && !p.isPrimary() {
			continue
		}
		if !p.drained(now, c.proxy.cfg.DrainTime) {
			return false
		}
		drained = true
	}
	return drained
}

// isDrained reports whether no primary may be used because the only one is leaving.
func (c *cluster) isDrained(now time.Time) bool {
	designated := group.Server("")
	if c.fencedByLeases.Load() {
		designated = c.authority.Primary(c.name, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primaryDrained(now, designated)
}
