package quota

import (
	"math"
	"time"
)

// Request describes a request that asks for a token.
type Request struct {
	Class Class
	// Patience is how long it waits while the workspace lacks tokens for longer than a moment; 0 stands for the usual wait, whatever the
	// shortage. At the beginning of a shortage it waits until it is cancelled.
	Patience time.Duration
}

// shortage tells since when a workspace has had fewer tokens than requests.
//
// It answers two loads that look alike at first. After a change of the leader, or in a short burst, tokens come back within a moment, and a
// request that waits is served. A workspace that asks for much more than its rate goes on lacking tokens: most of its requests would wait in
// vain, so they are refused at once.
type shortage struct {
	since, last time.Time
}

const (
	// shortageGap is the time without a lack of tokens after which a shortage is over.
	shortageGap = 300 * time.Millisecond
	// lastingShortage is the time from which on a shortage counts as lasting. A new leader has its buckets filled by then.
	lastingShortage = 800 * time.Millisecond
)

func (s *shortage) observe(now time.Time) {
	if now.Sub(s.last) > shortageGap {
		s.since = now
	}
	s.last = now
}

func (s *shortage) lasts(now time.Time) bool {
	return now.Sub(s.last) <= shortageGap && now.Sub(s.since) >= lastingShortage
}

// maxWaiting returns how many requests of one entry may wait in a lasting shortage: as many as its part of the rate serves in their patience.
func maxWaiting(limits Limits, entries int, patience time.Duration) int {
	return max(1, int(math.Ceil(limits.Rate/float64(max(1, entries))*patience.Seconds())))
}

// ahead returns the number of waiting requests that get tokens before one of a class.
func (l *WorkspaceLimiter[V]) ahead(class Class) int {
	n := 0
	for _, w := range l.waiting {
		if w.request.Class <= class {
			n++
		}
	}
	return n
}

// wait returns how long a request waits for tokens that the leader does not have.
func (l *WorkspaceLimiter[V]) wait(w *Waiter[V], usual time.Duration, now time.Time) time.Duration {
	switch {
	case w.request.Patience == 0:
		return usual
	case l.shortage.lasts(now):
		return w.request.Patience
	default:
		return math.MaxInt64
	}
}

// Bounds of the time after which a refused request may return.
const (
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfterLimit = 5 * time.Second
)

// RetryAfter returns the time after which a refused request of a workspace finds a token: those that wait here come first, and the tokens are
// divided among the entries. The spread, from 0 to 1, makes refused requests return one after the other.
func (e *Entry[V]) RetryAfter(limiter *WorkspaceLimiter[V], spread float64) time.Duration {
	limiter = e.registered(limiter)
	rate := limiter.limits.Rate / float64(max(1, e.entryCount))
	if rate <= 0 {
		return maxRetryAfterLimit
	}
	seconds := float64(len(limiter.waiting)+1) / rate * (1 + spread)
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfterLimit)
}
