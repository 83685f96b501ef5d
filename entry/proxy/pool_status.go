package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
)

// remoteFresh is how long what a home said of its load is believed.
const remoteFresh = 300 * time.Millisecond

// load tells how soon the server can be expected to serve, for choosing among replicas.
func (p *pool) load() (busyness int, usable, lagging, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	usable = !p.gone && !p.closed && !p.server.Leaving && !p.down
	busyness = p.running + len(p.waiting) + p.sent
	if now.Sub(p.remoteAt) < remoteFresh {
		busyness = max(busyness, p.remote)
	}
	return busyness, usable, now.Before(p.laggingUntil), now.Before(p.busyUntil)
}

// busyness is how much work runs or waits here.
func (p *pool) busyness() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running + len(p.waiting)
}

// noteRemote takes in what a home has answered.
func (p *pool) noteRemote(result forward.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remote, p.remoteAt = result.Load, now
	switch {
	case len(result.Answers) > 0 || result.BeginAnswer != nil:
		p.noteSuccess(now)
	case result.Failure != "":
		p.noteFailure(now)
	}
}

// sending counts work on its way to a home.
func (p *pool) sending(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent += change
}

func (p *pool) noteLagging(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggingUntil = until
}

func (p *pool) noteBusy(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = until
}

func (p *pool) noteOK() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteSuccess(p.now())
}

// health returns when the server last answered and since when it has failed without an answer.
func (p *pool) health() (lastOK, failingSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastOK, p.failingSince
}

// id returns the name of the server.
func (p *pool) id() group.Server { return p.server.Name }
