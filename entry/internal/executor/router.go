package executor

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// HomeLocator finds the entries that have connections to a server.
type HomeLocator interface {
	// Homes appends the addresses of the server's homes, the best first, and reports whether this entry is the best one.
	Homes(server group.Server, dst []netip.AddrPort) (homes []netip.AddrPort, local bool)
	// IsHome reports whether this entry is a home of the server.
	IsHome(server group.Server) bool
}

// Router runs each transaction locally or at a home.
type Router struct {
	local  *Local
	remote *Remote
	homes  HomeLocator

	// lastFailure maps each home to the time at which it was last unreachable.
	lastFailure sync.Map
}

// avoidFor is how long an unreachable home is tried last.
const avoidFor = 2 * time.Second

// reachable reports whether a home was not found unreachable within avoidFor.
func (r *Router) reachable(home netip.AddrPort, now time.Time) bool {
	at, found := r.lastFailure.Load(home)
	return !found || now.Sub(at.(time.Time)) > avoidFor
}

// NewRouter returns an executor that chooses between local and remote by the homes of the server.
func NewRouter(local *Local, remote *Remote, homes HomeLocator) *Router {
	return &Router{local: local, remote: remote, homes: homes}
}

// maxInlineHomes is the number of homes up to which a choice needs no heap allocation.
const maxInlineHomes = 4

// Open opens the transaction locally or at a home. It tries the next home while nothing was sent.
func (r *Router) Open(ctx context.Context, opening *protocol.Forward) (Transaction, error) {
	var buffer [maxInlineHomes]netip.AddrPort
	homes, local := r.homes.Homes(opening.Server, buffer[:0])
	if local {
		return r.local.Open(ctx, opening)
	}
	now := time.Now()
	slices.SortStableFunc(homes, func(a, b netip.AddrPort) int {
		return cmp.Compare(rank(r.reachable(a, now)), rank(r.reachable(b, now)))
	})
	failure := outcome.ForReason(outcome.ReasonHome, nil)
	for _, home := range homes {
		tx, err := r.remote.Open(ctx, home, opening)
		if err == nil {
			return tx, nil
		}
		failure = outcome.FromError(err)
		if failure.Reason != outcome.ReasonHome {
			break
		}
		r.lastFailure.Store(home, time.Now())
	}
	return nil, failure
}

// rank sorts reachable homes first.
func rank(reachable bool) int {
	if reachable {
		return 0
	}
	return 1
}
