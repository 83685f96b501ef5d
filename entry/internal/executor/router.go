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

// HomeLocator tells where transactions of a server run.
type HomeLocator interface {
	// Homes appends the addresses of the server's pool homes, the best first; local tells that this entry is the best.
	Homes(server group.Server, dst []netip.AddrPort) (homes []netip.AddrPort, local bool)
	// IsHome tells whether this entry is a home of the server.
	IsHome(server group.Server) bool
}

// Router runs transactions over the entry's own connections or at a home.
type Router struct {
	local  *Local
	remote *Remote
	homes  HomeLocator

	// failed holds when each home was last found to be out of reach.
	failed sync.Map
}

// avoidFor is how long a home that could not be reached is asked last.
const avoidFor = 2 * time.Second

// reachable tells whether a home is worth the first attempt.
func (r *Router) reachable(home netip.AddrPort, now time.Time) bool {
	at, found := r.failed.Load(home)
	return !found || now.Sub(at.(time.Time)) > avoidFor
}

// NewRouter returns an executor that follows the homes.
func NewRouter(local *Local, remote *Remote, homes HomeLocator) *Router {
	return &Router{local: local, remote: remote, homes: homes}
}

// maxInlineHomes is the number of homes up to which a choice needs no memory of its own.
const maxInlineHomes = 4

// Open opens the transaction where the server's connections are, and tries the next home while nothing was sent.
func (r *Router) Open(ctx context.Context, opening *protocol.Forward) (Transaction, error) {
	var inline [maxInlineHomes]netip.AddrPort
	homes, local := r.homes.Homes(opening.Server, inline[:0])
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
		r.failed.Store(home, time.Now())
	}
	return nil, failure
}

// rank puts homes in reach first.
func rank(reachable bool) int {
	if reachable {
		return 0
	}
	return 1
}
