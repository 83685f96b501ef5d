package quota

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

// Times of drawing.
const (
	drawTimeout = 100 * time.Millisecond
	// drawPeriod is the time between two looks at the demand.
	drawPeriod = 5 * time.Millisecond
	// retryDelay is the time after a round that no leader has answered.
	retryDelay = 20 * time.Millisecond
)

// LeaderClient sends a request to the control leader.
type LeaderClient interface {
	Call(ctx context.Context, attempt time.Duration, kind protocol.Kind, body, reply any) error
}

// LimitSource tells the limits that are in force.
type LimitSource interface {
	// Limits returns the limits of a workspace; false means that it does not exist.
	Limits(workspace inventory.WorkspaceName) (quota.Limits, bool)
	// Watch returns a channel that is signalled after each change, until stop is called.
	Watch() (changed <-chan struct{}, stop func())
}

// Config is what the quota needs.
type Config struct {
	Name     inventory.InstanceName
	Settings quota.Settings
	Limits   LimitSource
	Leader   LeaderClient
	// Now is a clock that counts suspended time, so that no grant outlives a suspension.
	Now func() time.Time
}

// Limiter admits requests of every workspace.
type Limiter struct {
	cfg Config
	// accounts is replaced as a whole, so that an admission needs no lock.
	accounts atomic.Pointer[accountTable]
	wake     chan struct{}

	mu    sync.Mutex
	entry *quota.Entry[chan bool]
	// answered is when the leader answered first.
	answered time.Time
}

type (
	account      = quota.WorkspaceLimiter[chan bool]
	ticket       = quota.Waiter[chan bool]
	accountTable = map[inventory.WorkspaceName]*account
)

// Error is the refusal of a request; it was not run.
type Error struct {
	Workspace inventory.WorkspaceName
	// Waited is how long the request has waited, and LeaderContactAge the age of the last contact with the leader at its end.
	Waited, LeaderContactAge time.Duration
}

// Error formats the refusal.
func (e *Error) Error() string {
	return fmt.Sprintf("quota: workspace %s is over its rate", e.Workspace)
}

// New returns a quota that draws with Run.
func New(cfg Config) *Limiter {
	q := &Limiter{cfg: cfg, wake: make(chan struct{}, 1)}
	q.entry = quota.NewEntry[chan bool](cfg.Settings, cfg.Name, cfg.Now())
	q.accounts.Store(&accountTable{})
	return q
}

// Take admits one request, if need be after asking the leader, and reports whether it may run.
func (q *Limiter) Take(ctx context.Context, workspace inventory.WorkspaceName) bool {
	return q.Acquire(ctx, workspace) == nil
}

// Acquire admits one request, if need be after asking the leader; an error is an *Error.
func (q *Limiter) Acquire(ctx context.Context, workspace inventory.WorkspaceName) error {
	now := q.cfg.Now()
	a := (*q.accounts.Load())[workspace]
	if a != nil && a.Admit(now) {
		return nil
	}
	if a == nil {
		if a = q.open(workspace, now); a == nil {
			return &Error{Workspace: workspace}
		}
		a.Admit(now)
	}
	return q.wait(ctx, a, workspace, now)
}

// open adds a workspace's account; nil means that the workspace does not exist.
func (q *Limiter) open(workspace inventory.WorkspaceName, now time.Time) *account {
	limits, found := q.cfg.Limits.Limits(workspace)
	if !found {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.entry.Limiter(workspace, limits, now)
	table := maps.Clone(*q.accounts.Load())
	table[workspace] = a
	q.accounts.Store(&table)
	return a
}

// wait asks the leader and waits for its answer.
func (q *Limiter) wait(ctx context.Context, a *account, workspace inventory.WorkspaceName, now time.Time) error {
	result := make(chan bool, 1)
	q.mu.Lock()
	decision, ticket := q.entry.Enqueue(a, result, now)
	q.mu.Unlock()
	switch decision {
	case quota.Admitted:
		return nil
	case quota.Refused:
		return q.refuse(workspace, now)
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case admitted := <-result:
		if admitted {
			return nil
		}
	case <-ctx.Done():
		if q.isUnheard(ticket) && <-result {
			return nil
		}
		q.mu.Lock()
		q.entry.Cancel(a, ticket)
		q.mu.Unlock()
	}
	return q.refuse(workspace, now)
}

// refuse returns the refusal of a request that came at a time.
func (q *Limiter) refuse(workspace inventory.WorkspaceName, came time.Time) error {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return &Error{Workspace: workspace, Waited: now.Sub(came), LeaderContactAge: now.Sub(q.entry.LastContact())}
}

// isUnheard tells whether a waiting request has had no word of the leader, which may be gone or has only just heard of this entry.
//
// It is settled soon then, out of the floor share or as refused.
func (q *Limiter) isUnheard(ticket *ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	return !ticket.LeaderAnswered() || q.entry.LeaderInTransition(now) || now.Sub(q.answered) < q.cfg.Settings.CutOffAfter
}

// Ready tells whether the leader has known this entry for long enough that its buckets are not empty for want of contact.
func (q *Limiter) Ready() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.answered.IsZero() && q.cfg.Now().Sub(q.answered) >= q.cfg.Settings.CutOffAfter
}

// Run draws from the leader until the context ends.
func (q *Limiter) Run(ctx context.Context) error {
	changed, stop := q.cfg.Limits.Watch()
	defer stop()
	ticker := time.NewTicker(drawPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			q.follow(q.cfg.Now())
		case <-q.wake:
		case <-ticker.C:
		}
		if !q.round(ctx) {
			pause(ctx, retryDelay/2+rand.N(retryDelay))
		}
	}
}

func pause(ctx context.Context, delay time.Duration) {
	clock := time.NewTimer(delay)
	defer clock.Stop()
	select {
	case <-ctx.Done():
	case <-clock.C:
	}
}

// follow takes in the limits of a new inventory and drops workspaces that are gone.
func (q *Limiter) follow(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	table := make(accountTable)
	for name := range *q.accounts.Load() {
		if limits, found := q.cfg.Limits.Limits(name); found {
			table[name] = q.entry.Limiter(name, limits, now)
		}
	}
	q.accounts.Store(&table)
}

// round asks the leader for what is needed now, if anything is, and reports whether it got no failure.
func (q *Limiter) round(ctx context.Context) bool {
	q.mu.Lock()
	now := q.cfg.Now()
	q.settle(q.entry.Expire(now))
	round := q.entry.NextDraw(now)
	q.mu.Unlock()
	if round == nil {
		return true
	}
	var reply protocol.DrawReply
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	if q.cfg.Leader.Call(ctx, drawTimeout, protocol.KindDraw, &round.Request, &reply) != nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.answered.IsZero() {
		q.answered = q.cfg.Now()
	}
	q.settle(q.entry.HandleReply(round, &reply, q.cfg.Now()))
	return true
}

func (q *Limiter) settle(settled []quota.Result[chan bool]) {
	for _, s := range settled {
		s.Value <- s.Admitted
	}
}
