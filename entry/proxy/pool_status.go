package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
)

// remoteLoadTTL is how long a load reported by another entry is considered current.
const remoteLoadTTL = 300 * time.Millisecond

// status returns the server's load and condition, by which servers are compared for a read.
func (p *pool) status() (workCount int, usable, lagging, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	usable = !p.replaced && !p.closed && !p.server.Leaving && !p.down
	workCount = p.running + len(p.waiting) + p.forwarding
	if now.Sub(p.remoteLoadAt) < remoteLoadTTL {
		workCount = max(workCount, p.remoteLoad)
	}
	return workCount, usable, now.Before(p.laggingUntil), now.Before(p.busyUntil)
}

// localWorkCount returns how much work runs or waits in this pool.
func (p *pool) localWorkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + len(p.waiting)
}

// recordRemoteResult updates the load and health of the server from the result of forwarded work.
func (p *pool) recordRemoteResult(result forward.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remoteLoad, p.remoteLoadAt = result.Load, now
	switch {
	case len(result.Answers) > 0 || result.BeginAnswer != nil:
		p.recordSuccessLocked(now)
	case result.Failure != "":
		p.recordFailureLocked(now)
	}
}

// addForwarding adjusts the count of work that is being forwarded to another entry.
func (p *pool) addForwarding(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarding += change
}

func (p *pool) markLagging(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggingUntil = until
}

func (p *pool) markBusy(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = until
}

func (p *pool) recordSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordSuccessLocked(p.now())
}

// health returns when the server last answered, and since when it has failed to answer.
func (p *pool) health() (lastSuccess, failingSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSuccess, p.failingSince
}

func (p *pool) serverName() group.Server { return p.server.Name }
