package quota

import "time"

// bucket is a token bucket; it counts grants, not uses.
type bucket struct {
	depth   float64
	rate    float64
	level   float64
	settled time.Time
}

// settle lets in what has flowed since the last time.
func (b *bucket) settle(now time.Time) {
	if !now.After(b.settled) {
		return
	}
	b.level = min(b.depth, b.level+b.rate*now.Sub(b.settled).Seconds())
	b.settled = now
}

// reshape changes the size and rate from now on.
func (b *bucket) reshape(depth, rate float64, now time.Time) {
	b.settle(now)
	b.depth, b.rate = depth, rate
	b.level = min(b.level, depth)
}

// take removes whole tokens, as many as there are above a level up to a number.
func (b *bucket) take(want uint32, least float64) uint32 {
	taken := min(float64(want), float64(int64(max(0, b.level-least))))
	b.level -= taken
	return uint32(taken)
}

// maxRetryAfter bounds what an entry is told to wait: the bucket fills faster as soon as floor shares come back.
const maxRetryAfter = 100 * time.Millisecond

// until returns the time until a number of tokens will be there, or after which it is worth asking again.
func (b *bucket) until(tokens float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return min(max(0, time.Duration((tokens-b.level)/b.rate*float64(time.Second))), maxRetryAfter)
}

// shape returns the bucket size and rate out of which grants of a lifetime keep the uses within the limits.
//
// Let r and b be the limits, T the lifetime and d the bucket size. A use at time u belongs to a grant made in [u-T, u]: the
// lifetime counts from the request, which was sent before the grant was made. So the uses in a window [s, e] are at most the
// grants in [s-T, e], which are at most d + r(e-s+T). With d = b - rT that is b + r(e-s), whatever the window.
//
// Where b - rT is less than one token, grants are spaced instead: d = 1 and a rate r' with 1/r' = 1/r + T. Then n uses in a
// window belong to n grants, the last at least (n-1)/r' after the first, so the window is at least (n-1)/r' - T long, which is
// (n-1)/r for n = 2 and more beyond. So n is at most 1 + r(e-s), and b is at least 1.
func shape(l Limits, lifetime time.Duration) (depth, rate float64) {
	if l.Burst < 1 || l.Rate <= 0 {
		return 0, 0
	}
	inFlight := l.Rate * lifetime.Seconds()
	if l.Burst-inFlight >= 1 {
		return l.Burst - inFlight, l.Rate
	}
	return 1, l.Rate / (1 + inFlight)
}
