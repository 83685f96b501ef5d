package executor

import (
	"context"
	"net/netip"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// Homes tells where transactions of a server run.
type Homes interface {
	// Homes appends the addresses of the server's pool homes, the best first; local tells that this entry is the best.
	Homes(server group.Server, dst []netip.AddrPort) (homes []netip.AddrPort, local bool)
}

// Router runs transactions over the entry's own connections or at a home.
type Router struct {
	local  *Local
	remote *Remote
	homes  Homes
}

// NewRouter returns an executor that follows the homes.
func NewRouter(local *Local, remote *Remote, homes Homes) *Router {
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
	failure := outcome.At(outcome.ReasonHome, nil)
	for _, home := range homes {
		tx, err := r.remote.Open(ctx, home, opening)
		if err == nil {
			return tx, nil
		}
		failure = outcome.Of(err)
		if failure.Reason != outcome.ReasonHome {
			break
		}
	}
	return nil, failure
}
