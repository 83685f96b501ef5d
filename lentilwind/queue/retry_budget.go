package queue

import "sync/atomic"

// unitsPerRetry is the fixed-point scale of a budget.
const unitsPerRetry = 1000

// RetryBudget limits retries to a fraction of the requests, so that retries cannot multiply an overload. It is safe for
// concurrent use.
type RetryBudget struct {
	unitsPerRequest int64
	maxUnits        int64
	units           atomic.Int64
}

// NewRetryBudget returns a full budget. Each request adds the given fraction of a retry, up to maxRetries.
func NewRetryBudget(fraction float64, maxRetries int) *RetryBudget {
	b := &RetryBudget{unitsPerRequest: int64(fraction * unitsPerRetry), maxUnits: int64(maxRetries) * unitsPerRetry}
	b.units.Store(b.maxUnits)
	return b
}

// AddRequest records a request, not counting its retries.
func (b *RetryBudget) AddRequest() {
	for {
		old := b.units.Load()
		refilled := min(b.maxUnits, old+b.unitsPerRequest)
		if refilled == old || b.units.CompareAndSwap(old, refilled) {
			return
		}
	}
}

// TryRetry takes one retry from the budget and reports whether one was available.
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
