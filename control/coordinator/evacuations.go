package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
)

// ErrUnknownDataCentre means that an order names a data centre that the fleet does not have.
var ErrUnknownDataCentre = errors.New("coordinator: unknown data centre")

// Evacuate withdraws the databases of a data centre from service, or ends that. A nil error means that a majority has stored the order or
// that it changes nothing.
func (c *Coordinator) Evacuate(ctx context.Context, order fleet.EvacuationOrder) error {
	if len(c.cfg.DataCentres) > 0 && !slices.Contains(c.cfg.DataCentres, order.DataCentre) {
		return fmt.Errorf("%w: %q; the fleet has %q", ErrUnknownDataCentre, order.DataCentre, c.cfg.DataCentres)
	}
	if _, leads := c.leading(); leads {
		return c.acceptEvacuation(ctx, order)
	}
	return c.forwardToLeader(ctx, fleet.KindEvacuate, order, &fleet.Empty{})
}

// acceptEvacuation proposes an order as the leader.
func (c *Coordinator) acceptEvacuation(ctx context.Context, order fleet.EvacuationOrder) error {
	term, leads := c.leading()
	if !leads {
		return c.notLeaderRefusal()
	}
	_, changes := c.state.Load().Evacuated.With(order.DataCentre, !order.End)
	if !changes {
		// The lease still holds after the read, so no other leader has stored a newer order.
		if _, leads := c.leading(); leads {
			return nil
		}
		return c.notLeaderRefusal()
	}
	if !order.End {
		// The order may be in force from now on, and it is acknowledged later.
		c.evacuationTimes.note(term, order.DataCentre, c.cfg.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := c.propose(ctx, command{Evacuation: &order}); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.cfg.Log.Info().Str("evacuated", string(order.DataCentre)).Bool("ended", order.End).Msg("evacuationAccepted")
	return nil
}

// evacuationTimes holds when the leader of a term received the orders for evacuations. It has a lock of its own, because both the leader's
// state and the monitor of primaries use it under theirs.
type evacuationTimes struct {
	mu      sync.Mutex
	term    journal.Term
	ordered map[inventory.DataCentre]time.Time
}

// note records an order of a term.
func (t *evacuationTimes) note(term journal.Term, name inventory.DataCentre, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || t.ordered == nil {
		t.term, t.ordered = term, make(map[inventory.DataCentre]time.Time)
	}
	t.ordered[name] = now
}

// orderedAt returns when the leader of a term received an order, or zero if a former one did.
func (t *evacuationTimes) orderedAt(term journal.Term, name inventory.DataCentre) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term {
		return time.Time{}
	}
	return t.ordered[name]
}

// evacuationList returns the list of evacuations for entries.
func (c *Coordinator) evacuationList(current *state, now time.Time) *evacuation.List {
	list := &evacuation.List{Version: current.EvacuationVersion}
	for _, name := range current.Evacuated {
		list.Evacuations = append(list.Evacuations, evacuation.Evacuation{DataCentre: name, Grace: c.evacuationGrace(name, now)})
	}
	return list
}

func (c *Coordinator) evacuationGrace(name inventory.DataCentre, now time.Time) time.Duration {
	return evacuation.Grace(c.cfg.EvacuationBound, c.evacuationTimes.orderedAt(c.view.Load().term, name), now)
}

// evacuationUse returns what the databases of a data centre may be used for, by control too.
func (c *Coordinator) evacuationUse(name inventory.DataCentre) evacuation.Use {
	switch {
	case !c.state.Load().Evacuated.Contains(name):
		return evacuation.Unrestricted
	case c.evacuationGrace(name, c.cfg.Now()) > 0:
		return evacuation.Finishing
	default:
		return evacuation.Withdrawn
	}
}
