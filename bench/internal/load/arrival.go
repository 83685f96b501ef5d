package load

import (
	"context"
	"math/rand/v2"
	"time"
)

// newRand returns a generator seeded for one part of the load. Separate generators keep each part reproducible whatever the
// order in which the parts draw numbers.
func newRand(seed uint64, purpose string, n int) *rand.Rand {
	stream := uint64(n)
	for _, char := range purpose {
		stream = stream*131 + uint64(char)
	}
	return rand.New(rand.NewPCG(seed, stream))
}

// rateAt returns the offered rate, in requests a second, at a time since the start of the load.
func (w *Workspace) rateAt(elapsed time.Duration) float64 {
	rate := w.Rate
	for _, surge := range w.Surges {
		if elapsed >= surge.From && elapsed < surge.To {
			rate *= surge.Factor
		}
	}
	return rate
}

// poissonArrivals calls send at the times of a Poisson process, regardless of how long responses take.
func (w *Workspace) poissonArrivals(ctx context.Context, rng *rand.Rand, start time.Time, duration time.Duration, send func(time.Time)) {
	offset := time.Duration(0)
	for {
		rate := w.rateAt(offset)
		if rate <= 0 {
			return
		}
		offset += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if offset >= duration {
			return
		}
		scheduled := start.Add(offset)
		if !sleepUntil(ctx, scheduled) {
			return
		}
		send(scheduled)
	}
}

// sleepUntil waits until t and reports whether it was reached before the context ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
