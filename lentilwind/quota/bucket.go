package quota

import "time"

// tokenBucket is a token bucket. It limits when tokens are granted, not when they are used.
type tokenBucket struct {
	capacity   float64
	rate       float64
	level      float64
	refilledAt time.Time
}

// refill adds the tokens that have accrued since the last call.
func (b *tokenBucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.level = min(b.capacity, b.level+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// resize changes the capacity and rate from now on.
func (b *tokenBucket) resize(capacity, rate float64, now time.Time) {
	b.refill(now)
	b.capacity, b.rate = capacity, rate
	b.level = min(b.level, capacity)
}

// take removes up to the wanted number of whole tokens without going below minLevel, and returns how many it removed.
func (b *tokenBucket) take(want uint32, minLevel float64) uint32 {
	taken := min(float64(want), float64(int64(max(0, b.level-minLevel))))
	b.level -= taken
	return uint32(taken)
}

// maxRetryAfter bounds the retry delay sent to an entry, since the bucket refills faster as soon as a floor share is released.
const maxRetryAfter = 100 * time.Millisecond

// timeUntil returns the time until the bucket holds the given number of tokens, at most maxRetryAfter.
func (b *tokenBucket) timeUntil(tokens float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return min(max(0, time.Duration((tokens-b.level)/b.rate*float64(time.Second))), maxRetryAfter)
}

// bucketSize returns the capacity and rate of a bucket whose grants, each usable for the given lifetime, keep the uses within
// the limits.
//
// Let r and b be the limits, T the lifetime and d the capacity. A use at time u belongs to a grant made in [u-T, u], because
// the lifetime counts from the sending of the request, which happens before the grant is made. So the uses in a window [s, e]
// are at most the grants in [s-T, e], which are at most d + r(e-s+T). With d = b - rT that is b + r(e-s) for every window.
//
// If b - rT is less than one token, grants are spaced out instead: d = 1 and a rate r' with 1/r' = 1/r + T. Then n uses in a
// window belong to n grants, the last at least (n-1)/r' after the first, so the window is at least (n-1)/r' - T long, which is
// (n-1)/r for n = 2 and longer for larger n. So n is at most 1 + r(e-s), and b is at least 1.
func bucketSize(l Limits, lifetime time.Duration) (capacity, rate float64) {
	if l.Burst < 1 || l.Rate <= 0 {
		return 0, 0
	}
	inFlight := l.Rate * lifetime.Seconds()
	if l.Burst-inFlight >= 1 {
		return l.Burst - inFlight, l.Rate
	}
	return 1, l.Rate / (1 + inFlight)
}
