package caller

import (
	"net/netip"
	"sync"
	"time"
)

// Limits of refused keys of one address.
const (
	failureBurst  = 20
	failurePeriod = 500 * time.Millisecond
	maxAddresses  = 10_000
)

// limiter bounds the rate of refused keys by address.
type limiter struct {
	mu sync.Mutex
	// until holds, for each address, the time by which its failures are forgotten.
	until map[netip.Addr]time.Time
}

func (l *limiter) allowed(address netip.Addr, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until[address].Sub(now) < failureBurst*failurePeriod
}

func (l *limiter) failed(address netip.Addr, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil || len(l.until) >= maxAddresses {
		l.forget(now)
	}
	start := l.until[address]
	if start.Before(now) {
		start = now
	}
	l.until[address] = start.Add(failurePeriod)
}

func (l *limiter) forget(now time.Time) {
	kept := make(map[netip.Addr]time.Time)
	for address, until := range l.until {
		if until.After(now) && len(kept) < maxAddresses/2 {
			kept[address] = until
		}
	}
	l.until = kept
}
