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

// Intervals and time limits of requests to the control leader.
const (
	drawTimeout = 100 * time.Millisecond
	// drawPeriod is the interval at which demand is checked.
	drawPeriod = 5 * time.Millisecond
	// retryDelay is the mean delay after a request that the leader did not answer.
	retryDelay = 20 * time.Millisecond
)

// LeaderClient sends requests to the control leader.
type LeaderClient interface {
	Call(ctx context.Context, attempt time.Duration, kind protocol.Kind, body, reply any) error
}

// GroupClient reaches the entry that keeps the shares of cut-off entries of this data centre.
type GroupClient interface {
	// Keeper returns the address of the keeper, and whether that is this entry. It reports false if there is none.
	Keeper() (address string, self, found bool)
	// CallKeeper sends a request to the keeper at an address.
	CallKeeper(ctx context.Context, address string, body, reply any) error
}

// LimitSource provides the current limits of workspaces.
type LimitSource interface {
	// Limits returns the limits of a workspace. It reports false if the workspace does not exist.
	Limits(workspace inventory.WorkspaceName) (quota.Limits, bool)
	// Watch returns a channel that is signalled after each change until stop is called.
	Watch() (changed <-chan struct{}, stop func())
}

// Config configures a Limiter.
type Config struct {
	Name     inventory.InstanceName
	Settings quota.Settings
	Limits   LimitSource
	Leader   LeaderClient
	// Group reaches the keepers of this data centre; nil if there are none.
	Group GroupClient
	// Now is a clock that includes the time in which the system was suspended, so that grants expire during a suspension.
	Now func() time.Time
}

// Limiter admits the requests of all workspaces.
type Limiter struct {
	cfg Config
	// limiters is replaced as a whole, so that admission needs no lock.
	limiters atomic.Pointer[limiterTable]
	wake     chan struct{}
	// cutOff wakes RunGroup.
	cutOff chan struct{}

	mu    sync.Mutex
	entry *quota.Entry[chan bool]
	// keeper holds the shares that other entries have left to this one.
	keeper *quota.GroupKeeper
	// keeperAddress is the keeper that the entry last drew from.
	keeperAddress string
	// firstAnswerAt is when the leader answered for the first time.
	firstAnswerAt time.Time
}

type (
	workspaceLimiter = quota.WorkspaceLimiter[chan bool]
	waiter           = quota.Waiter[chan bool]
	limiterTable     = map[inventory.WorkspaceName]*workspaceLimiter
)

// Error is returned for a refused request, which has not run.
type Error struct {
	Workspace inventory.WorkspaceName
	// Waited is how long the request waited. LeaderContactAge is the time since the last contact with the leader when it was refused.
	Waited, LeaderContactAge time.Duration
	// RetryAfter is the time after which the workspace is expected to have a token for the request.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("quota: workspace %s is over its rate", e.Workspace)
}

// New returns a limiter that requests tokens while Run is running.
func New(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg, wake: make(chan struct{}, 1), cutOff: make(chan struct{}, 1)}
	l.entry = quota.NewEntry[chan bool](cfg.Settings, cfg.Name, cfg.Now())
	l.keeper = quota.NewGroupKeeper(cfg.Settings, rand.Uint64()|1, cfg.Now())
	l.limiters.Store(&limiterTable{})
	return l
}

// Take reports whether one request may run. If no token is available, it waits for the control leader.
func (l *Limiter) Take(ctx context.Context, workspace inventory.WorkspaceName) bool {
	return l.Acquire(ctx, workspace, quota.Request{}) == nil
}

// Acquire admits one request. If no token is available, it waits for the control leader. Any error is an *Error.
func (l *Limiter) Acquire(ctx context.Context, workspace inventory.WorkspaceName, request quota.Request) error {
	now := l.cfg.Now()
	limiter := (*l.limiters.Load())[workspace]
	if limiter != nil && limiter.Admit(now) {
		return nil
	}
	if limiter == nil {
		if limiter = l.addLimiter(workspace, now); limiter == nil {
			return &Error{Workspace: workspace, RetryAfter: unknownRetryAfter}
		}
		limiter.Admit(now)
	}
	return l.waitForLeader(ctx, limiter, workspace, request, now)
}

// addLimiter adds the limiter of a workspace. It returns nil if the workspace does not exist.
func (l *Limiter) addLimiter(workspace inventory.WorkspaceName, now time.Time) *workspaceLimiter {
	limits, found := l.cfg.Limits.Limits(workspace)
	if !found {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.entry.Limiter(workspace, limits, now)
	table := maps.Clone(*l.limiters.Load())
	table[workspace] = limiter
	l.limiters.Store(&table)
	return limiter
}

// waitForLeader requests tokens from the leader and waits until the request is admitted or refused.
func (l *Limiter) waitForLeader(
	ctx context.Context, limiter *workspaceLimiter, workspace inventory.WorkspaceName, request quota.Request, now time.Time,
) error {
	result := make(chan bool, 1)
	l.mu.Lock()
	decision, waiter := l.entry.Enqueue(limiter, result, request, now)
	l.mu.Unlock()
	switch decision {
	case quota.Admitted:
		return nil
	case quota.Refused:
		return l.refusal(limiter, workspace, now)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case admitted := <-result:
		if admitted {
			return nil
		}
	case <-ctx.Done():
		if l.isOutcomePending(waiter) && <-result {
			return nil
		}
		l.mu.Lock()
		l.entry.Cancel(limiter, waiter)
		l.mu.Unlock()
	}
	return l.refusal(limiter, workspace, now)
}

// refusal returns the error for a request that arrived at the given time.
func (l *Limiter) refusal(limiter *workspaceLimiter, workspace inventory.WorkspaceName, arrived time.Time) error {
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Error{
		Workspace: workspace, Waited: now.Sub(arrived), LeaderContactAge: now.Sub(l.entry.LastContact()), RetryAfter: l.entry.RetryAfter(limiter, rand.Float64()),
	}
}

// unknownRetryAfter is told to requests of a workspace that does not exist.
const unknownRetryAfter = time.Second

// isOutcomePending reports whether the leader has not yet decided on a waiting request, because it is unreachable or has known this
// entry only briefly.
//
// Such a request is soon admitted from the floor share of this entry, or refused.
func (l *Limiter) isOutcomePending(waiter *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	return !waiter.LeaderAnswered() || l.entry.LeaderInTransition(now) || now.Sub(l.firstAnswerAt) < l.cfg.Settings.CutOffAfter
}

// Ready reports whether the leader has known this entry for long enough that its buckets have had time to fill.
func (l *Limiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.firstAnswerAt.IsZero() && l.cfg.Now().Sub(l.firstAnswerAt) >= l.cfg.Settings.CutOffAfter
}

// Run requests tokens from the leader until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	changed, stop := l.cfg.Limits.Watch()
	defer stop()
	ticker := time.NewTicker(drawPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			l.applyLimits(l.cfg.Now())
		case <-l.wake:
		case <-ticker.C:
		}
		if !l.draw(ctx) {
			sleep(ctx, retryDelay/2+rand.N(retryDelay))
		}
	}
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// applyLimits updates the limits of all workspaces and removes the limiters of deleted ones.
func (l *Limiter) applyLimits(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	table := make(limiterTable)
	for name := range *l.limiters.Load() {
		if limits, found := l.cfg.Limits.Limits(name); found {
			table[name] = l.entry.Limiter(name, limits, now)
		}
	}
	l.limiters.Store(&table)
}

// draw requests the tokens that are needed now, if any. It reports whether there was no failure.
func (l *Limiter) draw(ctx context.Context) bool {
	l.mu.Lock()
	now := l.cfg.Now()
	l.deliver(l.entry.Expire(now))
	if l.cfg.Group != nil && l.entry.CutOff(now) {
		select {
		case l.cutOff <- struct{}{}:
		default:
		}
	}
	round := l.entry.NextDraw(now)
	l.mu.Unlock()
	if round == nil {
		return true
	}
	var reply protocol.DrawReply
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	if l.cfg.Leader.Call(ctx, drawTimeout, protocol.KindDraw, &round.Request, &reply) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstAnswerAt.IsZero() {
		l.firstAnswerAt = l.cfg.Now()
	}
	l.deliver(l.entry.HandleReply(round, &reply, l.cfg.Now()))
	return true
}

func (l *Limiter) deliver(outcomes []quota.Result[chan bool]) {
	for _, outcome := range outcomes {
		outcome.Value <- outcome.Admitted
	}
}
