package load

import (
	"context"
	"math/rand/v2"
	"time"
)

// random returns a source of its own for each part of a load, so that parts do not disturb one another.
func random(seed uint64, part string, n int) *rand.Rand {
	stream := uint64(n)
	for _, c := range part {
		stream = stream*131 + uint64(c)
	}
	return rand.New(rand.NewPCG(seed, stream))
}

// rateAt returns the offered rate at a time since the start.
func (w *Workspace) rateAt(since time.Duration) float64 {
	rate := w.Rate
	for _, s := range w.Surges {
		if since >= s.From && since < s.To {
			rate *= s.Factor
		}
	}
	return rate
}

// arrivals calls send at the times of a Poisson process, however long the answers take.
func (w *Workspace) arrivals(ctx context.Context, rng *rand.Rand, start time.Time, length time.Duration, send func(time.Time)) {
	at := time.Duration(0)
	for {
		rate := w.rateAt(at)
		if rate <= 0 {
			return
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return
		}
		scheduled := start.Add(at)
		if !sleepUntil(ctx, scheduled) {
			return
		}
		send(scheduled)
	}
}

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
