package queue

import "sync/atomic"

// unitsPerRetry is the fixed-point unit of a budget.
const unitsPerRetry = 1000

// RetryBudget allows retries as a fraction of the requests, so that retries cannot multiply an overload; it is safe for
// concurrent use.
type RetryBudget struct {
	perRequest int64
	most       int64
	units      atomic.Int64
}

// NewRetryBudget returns a budget that starts full: a fraction of a retry for each request, up to a number of saved retries.
func NewRetryBudget(fraction float64, most int) *RetryBudget {
	b := &RetryBudget{perRequest: int64(fraction * unitsPerRetry), most: int64(most) * unitsPerRetry}
	b.units.Store(b.most)
	return b
}

// AddRequest takes in one first attempt.
func (b *RetryBudget) AddRequest() {
	for {
		old := b.units.Load()
		sum := min(b.most, old+b.perRequest)
		if sum == old || b.units.CompareAndSwap(old, sum) {
			return
		}
	}
}

// TryRetry takes one retry out of the budget and reports whether there was one.
func (b *RetryBudget) TryRetry() bool {
	for {
		old := b.units.Load()
		if old < unitsPerRetry {
			return false
		}
		if b.units.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}
