package quota

import (
	"sync/atomic"
	"time"
)

// Layout of one grant in a word: its end in units of time since the origin above the number of tokens.
const (
	tokenBits = 20
	maxTokens = 1<<tokenBits - 1
	endUnit   = 100 * time.Microsecond
)

// GrantedTokens holds an entry's unused grants of one workspace; taking one needs no lock.
type GrantedTokens struct {
	origin time.Time
	// grants has the older grant and the newer one; a third joins the newer and shortens its life to the shorter of both.
	grants [2]atomic.Uint64
}

// Take uses one token and reports whether there was one alive.
func (t *GrantedTokens) Take(now time.Time) bool {
	at := t.unit(now)
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

// Remaining returns the number of tokens alive.
func (t *GrantedTokens) Remaining(now time.Time) uint32 {
	at := t.unit(now)
	var left uint64
	for i := range t.grants {
		if word := t.grants[i].Load(); word>>tokenBits > at {
			left += word & maxTokens
		}
	}
	return uint32(left)
}

// add puts in a grant; only one goroutine at a time may call it.
func (t *GrantedTokens) add(tokens uint32, end, now time.Time) {
	at := t.unit(now)
	word := t.unit(end)<<tokenBits | uint64(min(tokens, maxTokens))
	if tokens == 0 || word>>tokenBits <= at {
		return
	}
	older := t.grants[0].Load()
	if older&maxTokens == 0 || older>>tokenBits <= at {
		newer := t.grants[1].Swap(0)
		t.grants[0].Store(newer)
	}
	t.join(word, at)
}

// join puts a grant into the newer place, together with what lives there.
func (t *GrantedTokens) join(word, at uint64) {
	for {
		old := t.grants[1].Load()
		joined := word
		if old&maxTokens != 0 && old>>tokenBits > at {
			end := min(old>>tokenBits, word>>tokenBits)
			joined = end<<tokenBits | min(old&maxTokens+word&maxTokens, maxTokens)
		}
		if t.grants[1].CompareAndSwap(old, joined) {
			return
		}
	}
}

func (t *GrantedTokens) unit(at time.Time) uint64 {
	return uint64(max(0, at.Sub(t.origin)) / endUnit)
}
