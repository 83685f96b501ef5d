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

// LeaderClient sends requests to the current leader of the control processes.
type LeaderClient struct {
	endpoint *link.Endpoint

	mu        sync.Mutex
	addresses []netip.AddrPort
	next      int
	// hint is the leader's address as reported by a control process; invalid if none is known.
	hint netip.AddrPort
}

// minAttemptTime is the minimum time that must remain before the deadline for another attempt.
const minAttemptTime = time.Millisecond

// NewLeaderClient returns a client that searches the given control addresses for the leader.
func NewLeaderClient(endpoint *link.Endpoint, addresses []netip.AddrPort) *LeaderClient {
	return &LeaderClient{endpoint: endpoint, addresses: slices.Clone(addresses)}
}

// Call sends a request to the leader, trying other control processes if the leader is unknown or has changed. Each attempt has
// its own timeout.
//
// A request may reach more than one control process, so it must be idempotent.
func (l *LeaderClient) Call(ctx context.Context, attempt time.Duration, kind protocol.Kind, body, reply any) error {
	var lastErr error
	for range 2 * len(l.addresses) {
		address := l.target()
		attemptCtx, cancel := context.WithTimeout(ctx, attempt)
		err := l.endpoint.Call(attemptCtx, address, kind, body, reply)
		cancel()
		if err == nil {
			return nil
		}
		lastErr = err
		if !l.handleFailure(address, err) || ctx.Err() != nil {
			break
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minAttemptTime {
			break
		}
	}
	return fmt.Errorf("membership: %s: %w", kind, lastErr)
}

// target returns the address for the next attempt.
func (l *LeaderClient) target() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targetLocked()
}

// handleFailure selects the next address after a failed attempt and reports whether the caller should retry immediately.
func (l *LeaderClient) handleFailure(tried netip.AddrPort, err error) bool {
	var refusal *protocol.Refusal
	refused := errors.As(err, &refusal)
	if refused && refusal.Code != protocol.CodeNotLeader && refusal.Code != protocol.CodeUnavailable {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if target := l.targetLocked(); target != tried {
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

// targetLocked returns the address for the next attempt. The caller must hold l.mu.
func (l *LeaderClient) targetLocked() netip.AddrPort {
	if l.hint.IsValid() {
		return l.hint
	}
	return l.addresses[l.next]
}
