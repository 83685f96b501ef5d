package quota

import (
	"sync/atomic"
	"time"
)

// Layout of a grant packed into one word: the expiry, in units since the origin, above the number of tokens.
const (
	tokenBits  = 20
	maxTokens  = 1<<tokenBits - 1
	expiryUnit = 100 * time.Microsecond
)

// GrantedTokens holds an entry's unused tokens of one workspace. Taking a token needs no lock.
type GrantedTokens struct {
	origin time.Time
	// grants holds the older grant and the newer one. A third grant is merged into the newer one, which then expires at the
	// earlier of the two expiries.
	grants [2]atomic.Uint64
}

// Take takes one token and reports whether there was an unexpired one.
func (t *GrantedTokens) Take(now time.Time) bool {
	at := t.sinceOrigin(now)
	for i := range t.grants {
		for {
			word := t.grants[i].Load()
			if word&maxTokens == 0 || word>>tokenBits <= at {
				break
			}
			if t.grants[i].CompareAndSwap(word, word-1) {
				return true
			}
		}
	}
	return false
}

// Remaining returns the number of unexpired tokens.
func (t *GrantedTokens) Remaining(now time.Time) uint32 {
	at := t.sinceOrigin(now)
	var left uint64
	for i := range t.grants {
		if word := t.grants[i].Load(); word>>tokenBits > at {
			left += word & maxTokens
		}
	}
	return uint32(left)
}

// add stores a grant. Calls must not be concurrent with each other.
func (t *GrantedTokens) add(tokens uint32, expiry, now time.Time) {
	at := t.sinceOrigin(now)
	word := t.sinceOrigin(expiry)<<tokenBits | uint64(min(tokens, maxTokens))
	if tokens == 0 || word>>tokenBits <= at {
		return
	}
	older := t.grants[0].Load()
	if older&maxTokens == 0 || older>>tokenBits <= at {
		newer := t.grants[1].Swap(0)
		t.grants[0].Store(newer)
	}
	t.mergeNewer(word, at)
}

// mergeNewer merges a grant into the newer slot, together with an unexpired grant that is already there.
func (t *GrantedTokens) mergeNewer(word, at uint64) {
	for {
		old := t.grants[1].Load()
		merged := word
		if old&maxTokens != 0 && old>>tokenBits > at {
			expiry := min(old>>tokenBits, word>>tokenBits)
			merged = expiry<<tokenBits | min(old&maxTokens+word&maxTokens, maxTokens)
		}
		if t.grants[1].CompareAndSwap(old, merged) {
			return
		}
	}
}

func (t *GrantedTokens) sinceOrigin(at time.Time) uint64 {
	return uint64(max(0, at.Sub(t.origin)) / expiryUnit)
}
