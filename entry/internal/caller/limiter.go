package caller

import (
	"net/netip"
	"sync"
	"time"
)

// Limits for rejected keys. An address is blocked after keyFailureBurst failures; one failure is forgiven per keyFailurePeriod.
const (
	keyFailureBurst     = 20
	keyFailurePeriod    = 500 * time.Millisecond
	maxLimitedAddresses = 10_000
)

// keyFailureLimiter limits the rate of rejected keys per address.
type keyFailureLimiter struct {
	mu sync.Mutex
	// clearAt holds the time at which all failures of an address have expired.
	clearAt map[netip.Addr]time.Time
}

func (l *keyFailureLimiter) allowed(address netip.Addr, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clearAt[address].Sub(now) < keyFailureBurst*keyFailurePeriod
}

func (l *keyFailureLimiter) add(address netip.Addr, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clearAt == nil || len(l.clearAt) >= maxLimitedAddresses {
		l.prune(now)
	}
	start := l.clearAt[address]
	if start.Before(now) {
		start = now
	}
	l.clearAt[address] = start.Add(keyFailurePeriod)
}

func (l *keyFailureLimiter) prune(now time.Time) {
	kept := make(map[netip.Addr]time.Time)
	for address, until := range l.clearAt {
		if until.After(now) && len(kept) < maxLimitedAddresses/2 {
			kept[address] = until
		}
	}
	l.clearAt = kept
}
