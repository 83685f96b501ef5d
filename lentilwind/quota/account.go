package quota

import (
	"math"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// WorkspaceLimiter is one workspace's part at an entry; V is what identifies a waiting request.
type WorkspaceLimiter[V any] struct {
	tokens GrantedTokens
	asked  atomic.Uint64

	workspace inventory.WorkspaceName
	limits    Limits
	lifetime  time.Duration
	floor     bucket
	forecast  forecast
	waiting   []*Waiter[V]
	// nextAsk is the time before which the leader has nothing to give.
	nextAsk time.Time
	active  time.Time
}

// Waiter is a request that waits for a token.
type Waiter[V any] struct {
	Value V
	since time.Time
	asks  int
}

// LeaderAnswered tells whether the leader has answered for this request.
func (t *Waiter[V]) LeaderAnswered() bool { return t.asks > 0 }

// Admit takes a token if one is at hand; it is safe for concurrent use and needs no lock.
func (a *WorkspaceLimiter[V]) Admit(now time.Time) bool {
	a.asked.Add(1)
	return a.tokens.Take(now)
}

// forecastTime is the time constant of the learned demand.
const forecastTime = 200 * time.Millisecond

// forecast learns the rate of requests.
type forecast struct {
	rate  float64
	count uint64
	at    time.Time
}

func (f *forecast) update(count uint64, now time.Time) {
	elapsed := now.Sub(f.at)
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/forecastTime.Seconds())
	f.rate += weight * (float64(count-f.count)/elapsed.Seconds() - f.rate)
	f.count, f.at = count, now
}

// ahead returns how many tokens to hold for the time in which a grant can be used up well before its end.
func (f *forecast) ahead(lifetime time.Duration) uint32 {
	expected := f.rate * lifetime.Seconds() / 2
	if expected < 1 {
		return 0
	}
	return uint32(math.Ceil(expected + math.Sqrt(expected)))
}

// draw returns what to ask the leader for; it wants nothing while the leader is known to have nothing.
func (a *WorkspaceLimiter[V]) draw(now time.Time) protocol.Draw {
	d := protocol.Draw{Workspace: a.workspace}
	a.forecast.update(a.asked.Load(), now)
	if now.Before(a.nextAsk) {
		return d
	}
	d.Need = uint32(len(a.waiting))
	d.Want = d.Need
	target := a.forecast.ahead(a.lifetime)
	if left := a.tokens.Remaining(now); 2*left < target {
		d.Want += target - left
	}
	return d
}

// idle tells whether the account has had no request for a while.
func (a *WorkspaceLimiter[V]) idle(now time.Time) bool {
	if len(a.waiting) > 0 || a.forecast.count != a.asked.Load() {
		a.active = now
	}
	return now.Sub(a.active) > forgetAccountAfter
}

// forgetAccountAfter is how long an account without requests is kept.
const forgetAccountAfter = 10 * time.Second
