package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
)

// remoteLoadTTL is how long a load reported by another entry is considered current.
const remoteLoadTTL = 300 * time.Millisecond

// serverStatus is the load and condition of a server, by which servers are compared for a read.
type serverStatus struct {
	workCount             int
	usable, lagging, busy bool
	slots                 int
	// serviceTime is 0 if it is not known. failureRate is the part of recent reads that failed.
	serviceTime time.Duration
	failureRate float64
}

func (p *pool) status() serverStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := serverStatus{
		usable:    !p.replaced && !p.closed && !p.server.Leaving && !p.down,
		workCount: p.running + p.queue.Len(), lagging: now.Before(p.laggingUntil), busy: now.Before(p.busyUntil), slots: p.server.Slots,
	}
	for _, o := range p.owners {
		if !o.isSelf {
			s.workCount += o.workCount(now)
		}
	}
	s.serviceTime, s.failureRate = p.speed.current(now)
	return s
}

// localWorkCount returns how much work runs or waits in this pool.
func (p *pool) localWorkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + p.queue.Len()
}

// recordRemoteResult updates the load and health of the server from the result of work that an owner ran.
func (p *pool) recordRemoteResult(o *owner, result forward.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.load, o.loadAt = result.Load, now
	if result.ServiceTime > 0 {
		p.speed.observeServiceTime(now, result.ServiceTime)
	}
	switch {
	case len(result.Answers) > 0 || result.BeginAnswer != nil:
		p.recordSuccessLocked(now)
	case result.Failure != "":
		p.recordFailureLocked(now)
	}
}

// localServiceTime returns the mean service time of the work that this entry has run on the server.
func (p *pool) localServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meanServiceTime
}

// recordRead records whether a read that this entry sent to the server was answered.
func (p *pool) recordRead(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speed.observeOutcome(p.now(), failed)
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
