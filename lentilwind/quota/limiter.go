package quota

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// WorkspaceLimiter admits the requests of one workspace at an entry. V identifies a waiting request.
type WorkspaceLimiter[V any] struct {
	tokens   GrantedTokens
	requests atomic.Uint64

	workspace  inventory.WorkspaceName
	limits     Limits
	lifetime   time.Duration
	floorShare tokenBucket
	forecast   forecast
	waiting    []*Waiter[V]
	// nextDrawAt is the time before which the leader has no tokens for this workspace.
	nextDrawAt time.Time
	lastActive time.Time
	shortage   shortage
}

// Waiter is a request that waits for a token.
type Waiter[V any] struct {
	Value         V
	request       Request
	enqueuedAt    time.Time
	answeredDraws int
}

// LeaderAnswered reports whether the leader has answered a draw that covered this request.
func (w *Waiter[V]) LeaderAnswered() bool { return w.answeredDraws > 0 }

// Admit takes a token if one is available locally. It needs no lock and is safe for concurrent use.
func (l *WorkspaceLimiter[V]) Admit(now time.Time) bool {
	l.requests.Add(1)
	return l.tokens.Take(now)
}

// forecastTimeConstant is the time constant of the moving average of the request rate.
const forecastTimeConstant = 200 * time.Millisecond

// forecast estimates the rate of requests as an exponential moving average.
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
	weight := 1 - math.Exp(-elapsed.Seconds()/forecastTimeConstant.Seconds())
	f.rate += weight * (float64(count-f.count)/elapsed.Seconds() - f.rate)
	f.count, f.at = count, now
}

// prefetchTarget returns how many tokens to hold locally: the demand expected within half of a grant's lifetime plus one
// standard deviation, so that grants are used up well before they expire.
func (f *forecast) prefetchTarget(lifetime time.Duration) uint32 {
	expected := f.rate * lifetime.Seconds() / 2
	if expected < 1 {
		return 0
	}
	return uint32(math.Ceil(expected + math.Sqrt(expected)))
}

// nextDraw returns the draw to send to the leader. It asks for nothing before nextDrawAt.
func (l *WorkspaceLimiter[V]) nextDraw(now time.Time) protocol.Draw {
	d := protocol.Draw{Workspace: l.workspace}
	l.forecast.update(l.requests.Load(), now)
	if now.Before(l.nextDrawAt) {
		return d
	}
	d.Need = uint32(len(l.waiting))
	d.Want = d.Need
	d.Classes = l.needsByClass()
	target := l.forecast.prefetchTarget(l.lifetime)
	if left := l.tokens.Remaining(now); 2*left < target {
		d.Want += target - left
	}
	return d
}

// needsByClass returns the number of waiting requests of each class, or nil if all are of the most urgent one.
func (l *WorkspaceLimiter[V]) needsByClass() []uint32 {
	if len(l.waiting) == 0 || l.waiting[len(l.waiting)-1].request.Class == 0 {
		return nil
	}
	needs := make([]uint32, l.waiting[len(l.waiting)-1].request.Class+1)
	for _, w := range l.waiting {
		needs[w.request.Class]++
	}
	return needs
}

// enqueue adds a waiter behind those of its class and of more urgent ones.
func (l *WorkspaceLimiter[V]) enqueue(w *Waiter[V]) {
	position := len(l.waiting)
	for position > 0 && l.waiting[position-1].request.Class > w.request.Class {
		position--
	}
	l.waiting = slices.Insert(l.waiting, position, w)
}

// isIdle reports whether there has been no request for idleLimiterTimeout.
func (l *WorkspaceLimiter[V]) isIdle(now time.Time) bool {
	if len(l.waiting) > 0 || l.forecast.count != l.requests.Load() {
		l.lastActive = now
	}
	return now.Sub(l.lastActive) > idleLimiterTimeout
}

// idleLimiterTimeout is how long a limiter without requests is kept.
const idleLimiterTimeout = 10 * time.Second
