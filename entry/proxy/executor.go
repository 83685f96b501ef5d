package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/statement"
)

// Times of work.
const (
	// minOffer is the least time that is worth an offer to a database.
	minOffer = 10 * time.Millisecond
	// hopTime is allowed for the way to a home and back, beside the work itself.
	hopTime = 60 * time.Millisecond
	// homeDown is how long a home that did not answer is left alone.
	homeDown = 600 * time.Millisecond
	// heldGrace is added to the limit of a resting transaction before a kept connection is dropped.
	heldGrace = time.Second
)

// beginOwn opens a transaction that only a primary accepts, and rollbackOwn ends it.
var (
	beginOwn    = statement.Statement{ID: statement.Own, Verb: statement.Begin}
	rollbackOwn = statement.Statement{ID: statement.Own, Verb: statement.Rollback}
)

// held is a connection that a transaction keeps.
type held struct {
	link *link
	used time.Time
	busy bool
}

// heldLinks are the kept connections of this entry, for sessions here and at other entries.
type heldLinks struct {
	mu   sync.Mutex
	last uint64
	all  map[uint64]*held
}

// keep takes a connection in and returns its name.
func (h *heldLinks) keep(l *link, now time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	h.all[h.last] = &held{link: l, used: now}
	return h.last
}

// take returns a kept connection for one work; nil if it is gone or in use.
func (h *heldLinks) take(id uint64) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.all[id]
	if kept == nil || kept.busy {
		return nil
	}
	kept.busy = true
	return kept.link
}

// put gives a kept connection back for the next work.
func (h *heldLinks) put(id uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kept := h.all[id]; kept != nil {
		kept.busy, kept.used = false, now
	}
}

func (h *heldLinks) forget(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.all, id)
}

// expire returns the connections whose transactions have rested for too long.
func (h *heldLinks) expire(now time.Time, limit time.Duration) []*link {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*link
	for id, kept := range h.all {
		if !kept.busy && now.Sub(kept.used) > limit {
			out = append(out, kept.link)
			delete(h.all, id)
		}
	}
	return out
}

func (h *heldLinks) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.all)
}

func failed(failure forward.Failure, detail string) forward.Result {
	return forward.Result{Failure: failure, Detail: detail}
}

// broke tells how an exchange failed.
func broke(err error) forward.Failure {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return forward.TimedOut
	}
	return forward.ConnectionLost
}

// Register lets other entries hand work to this one.
func (p *Proxy) Register(server *peer.Server) {
	server.Handle(forward.KindWork, peer.Typed(func(_ context.Context, _ inventory.InstanceName, work forward.Work) (forward.Result, error) {
		return p.runHere(work), nil
	}))
}

// runHere runs work on a connection of this entry.
func (p *Proxy) runHere(work forward.Work) forward.Result {
	end := p.cfg.Now().Add(work.Timeout)
	if work.HeldConnection != 0 {
		return p.runHeld(work, end)
	}
	c := p.cluster(work.Service)
	if c == nil {
		return failed(forward.NotSent, "the service is not known")
	}
	pool := c.pool(work.Server)
	if pool == nil {
		return failed(forward.NotSent, "the server is not known")
	}
	l, err := pool.acquire(work)
	if err != nil {
		result := failed(forward.NotSent, err.Error())
		result.Load = pool.busyness()
		return result
	}
	result := p.runOn(l, work, end)
	if result.HeldConnection == 0 {
		l.release()
	} else {
		l.rest()
	}
	result.Load = pool.busyness()
	return result
}

// runHeld runs work on a connection that a transaction keeps.
func (p *Proxy) runHeld(work forward.Work, end time.Time) forward.Result {
	l := p.held.take(work.HeldConnection)
	if l == nil {
		return failed(forward.NotSent, "the transaction's connection is gone")
	}
	if work.CloseHeld {
		p.held.forget(work.HeldConnection)
		l.resume()
		l.broken = true
		l.release()
		return forward.Result{}
	}
	l.resume()
	result := p.runOn(l, work, end)
	if work.ReleaseHeld || l.broken {
		p.held.forget(work.HeldConnection)
		l.release()
		return result
	}
	l.rest()
	p.held.put(work.HeldConnection, p.cfg.Now())
	result.HeldConnection = work.HeldConnection
	return result
}

// runOn runs work on one connection.
func (p *Proxy) runOn(l *link, work forward.Work, end time.Time) forward.Result {
	if err := l.fit(work.Values, work.Prepared); err != nil {
		return failed(forward.NotSent, err.Error())
	}
	var result forward.Result
	if work.Begin != nil {
		answers, err := l.exchange(min(max(end.Sub(p.cfg.Now()), minOffer), setupTimeout), *work.Begin)
		if err != nil {
			return failed(forward.NotSent, "the transaction could not be opened")
		}
		result.BeginAnswer = &answers[0]
		if answers[0].Outcome != statement.Done {
			return result
		}
	}
	statements := make([]statement.Statement, len(work.Statements), len(work.Statements)+1)
	copy(statements, work.Statements)
	for i := range statements {
		if statements[i].Verb == statement.Execute && work.Prepared != nil {
			statements[i].Name = l.prepared[*work.Prepared]
		}
	}
	closing := work.Begin != nil && !work.HoldConnection
	if closing {
		statements = append(statements, rollbackOwn)
	}
	if len(statements) > 0 {
		p.exchangeInto(&result, l, end, statements, len(work.Statements))
	}
	last := lastState(result)
	if work.HoldConnection && !l.broken && last == statement.InTransaction {
		result.HeldConnection = p.held.keep(l, p.cfg.Now())
	} else if last != statement.Idle && (work.HeldConnection == 0 || work.ReleaseHeld) {
		l.broken = true
	}
	return result
}

func (p *Proxy) exchangeInto(result *forward.Result, l *link, end time.Time, statements []statement.Statement, wanted int) {
	answers, err := l.exchange(max(end.Sub(p.cfg.Now()), minOffer), statements...)
	if err != nil && len(answers) < wanted {
		result.Failure, result.Detail = broke(err), err.Error()
	}
	if len(answers) > wanted && answers[wanted].State != statement.Idle {
		l.broken = true
	}
	result.Answers = answers[:min(wanted, len(answers))]
	if err == nil && len(answers) > wanted {
		// The rollback has ended the transaction, whatever the state after the statements was.
		for i := range result.Answers {
			result.Answers[i].State = statement.Idle
		}
	}
}

// lastState returns the transaction state that the connection was last seen in.
func lastState(result forward.Result) statement.State {
	switch {
	case len(result.Answers) > 0:
		return result.Answers[len(result.Answers)-1].State
	case result.BeginAnswer != nil:
		return result.BeginAnswer.State
	default:
		return statement.Idle
	}
}

// run carries work out at its home, or here if that does not answer before anything was sent.
func (p *Proxy) run(pool *pool, work forward.Work) (forward.Result, *home) {
	work.Service, work.Server = pool.server.Service, pool.server.Name
	h := p.homeOf(pool, work.Workspace)
	if h != nil {
		pool.sending(1)
		result, reached := p.runAt(h, work)
		pool.sending(-1)
		if reached {
			pool.noteRemote(result, p.cfg.Now())
			return result, h
		}
	}
	return p.runHere(work), nil
}

// runAt sends work to another entry; false means that it has certainly not arrived there.
func (p *Proxy) runAt(h *home, work forward.Work) (forward.Result, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), work.Timeout+hopTime)
	defer cancel()
	var result forward.Result
	err := p.cfg.Client.Call(ctx, h.entry.Address, forward.KindWork, work, &result)
	switch {
	case err == nil:
		return result, true
	case errors.Is(err, peer.ErrNotSent):
		h.down(p.cfg.Now().Add(homeDown))
		return forward.Result{}, false
	default:
		h.down(p.cfg.Now().Add(homeDown))
		failure := forward.ConnectionLost
		if ctx.Err() != nil {
			failure = forward.TimedOut
		}
		return failed(failure, err.Error()), true
	}
}

// continueWork carries on at the entry that keeps the transaction's connection; nil is this one.
func (p *Proxy) continueWork(h *home, work forward.Work) forward.Result {
	if h == nil {
		return p.runHere(work)
	}
	result, reached := p.runAt(h, work)
	if !reached {
		return failed(forward.NotSent, "the entry that holds the connection does not answer")
	}
	return result
}

// dropWork gives a kept connection up.
func (p *Proxy) dropWork(h *home, id uint64) {
	work := forward.Work{HeldConnection: id, CloseHeld: true, Timeout: setupTimeout}
	if h == nil {
		p.runHere(work)
		return
	}
	// Nobody waits for the outcome; a lost message leaves the connection to the limit of resting transactions.
	go p.runAt(h, work)
}

// home is an entry that holds the connections to some databases.
type home struct {
	entry fleet.Entry

	mu        sync.Mutex
	downUntil time.Time
}

func (h *home) down(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.downUntil = until
}

func (h *home) usable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.downUntil)
}
