package membership

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/instance/link"

	"lentilwind.dev/lentilwind/protocol"
)

// LeaderClient sends requests to whichever control process leads.
type LeaderClient struct {
	endpoint *link.Endpoint

	mu        sync.Mutex
	addresses []netip.AddrPort
	next      int
	// hint is an address that a control process named as the leader's.
	hint netip.AddrPort
}

// minAttempt is the least time left for which a request is still sent.
const minAttempt = time.Millisecond

// NewLeaderClient returns a client that tries the given control addresses.
func NewLeaderClient(endpoint *link.Endpoint, addresses []netip.AddrPort) *LeaderClient {
	return &LeaderClient{endpoint: endpoint, addresses: slices.Clone(addresses)}
}

// Call asks the leader once and looks for it where that is needed; each attempt has its own timeout.
//
// A request may reach more than one control process, so it must be harmless to repeat.
func (l *LeaderClient) Call(ctx context.Context, attempt time.Duration, kind protocol.Kind, body, reply any) error {
	var failure error
	for range 2 * len(l.addresses) {
		to := l.target()
		attemptContext, cancel := context.WithTimeout(ctx, attempt)
		err := l.endpoint.Call(attemptContext, to, kind, body, reply)
		cancel()
		if err == nil {
			return nil
		}
		failure = err
		if !l.learn(to, err) || ctx.Err() != nil {
			break
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minAttempt {
			break
		}
	}
	return fmt.Errorf("membership: %s: %w", kind, failure)
}

// target returns the address to try.
func (l *LeaderClient) target() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current()
}

// learn takes in a failed attempt and reports whether another address is worth trying at once.
func (l *LeaderClient) learn(tried netip.AddrPort, err error) bool {
	var refusal *protocol.Refusal
	refused := errors.As(err, &refusal)
	if refused && refusal.Code != protocol.CodeNotLeader && refusal.Code != protocol.CodeUnavailable {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.current(); current != tried {
		return true
	}
	if refused {
		if leader, err := netip.ParseAddrPort(refusal.Leader); err == nil && leader != tried {
			l.hint = leader
			return true
		}
	}
	l.hint = netip.AddrPort{}
	l.next = (l.next + 1) % len(l.addresses)
	return true
}

func (l *LeaderClient) current() netip.AddrPort {
	if l.hint.IsValid() {
		return l.hint
	}
	return l.addresses[l.next]
}
