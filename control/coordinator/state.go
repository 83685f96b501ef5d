package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

// promotion records which database is to become the primary; its log index is the fencing token.
type promotion struct {
	Service group.Service          `cbor:"1,keyasint"`
	Server  group.Server           `cbor:"2,keyasint"`
	Holder  inventory.InstanceName `cbor:"3,keyasint"`
	Token   journal.Index          `cbor:"4,keyasint,omitempty"`
	// Epoch is the last change of the right to be the primary, Suspended means that no server has it, and Drain that writes to the former
	// primary may finish because it was stopped in order.
	Epoch     fleet.Epoch `cbor:"5,keyasint,omitempty"`
	Suspended bool        `cbor:"6,keyasint,omitempty"`
	Drain     bool        `cbor:"7,keyasint,omitempty"`
	// Settled means that no order for the server can be carried out any more that has not been.
	Settled bool `cbor:"8,keyasint,omitempty"`
	// After is the newest term that was known when the order was decided; 0 if the server was not ordered to lead.
	After group.Term `cbor:"9,keyasint,omitempty"`
}

// suspension ends the right to use the primary of a service; Drain lets writes in flight to it finish.
type suspension struct {
	Service group.Service `cbor:"1,keyasint"`
	Drain   bool          `cbor:"2,keyasint,omitempty"`
}

// settlement records that the orders of a promotion have been answered.
type settlement struct {
	Service group.Service `cbor:"1,keyasint"`
	Token   journal.Index `cbor:"2,keyasint"`
}

// command is one change of the replicated state; exactly one field is set.
type command struct {
	Document   *fleet.Document          `cbor:"1,keyasint,omitempty"`
	Promotion  *promotion               `cbor:"2,keyasint,omitempty"`
	Entries    []inventory.InstanceName `cbor:"3,keyasint,omitempty"`
	Servers    []fleet.Server           `cbor:"4,keyasint,omitempty"`
	Reserves   *quota.Reserves          `cbor:"5,keyasint,omitempty"`
	Suspension *suspension              `cbor:"6,keyasint,omitempty"`
	Settlement *settlement              `cbor:"7,keyasint,omitempty"`
	// Terms are the highest terms that primaries were seen to lead; lower ones than those recorded change nothing.
	Terms map[group.Service]group.Term `cbor:"8,keyasint,omitempty"`
	// Evacuation withdraws a data centre's databases from service, or ends that.
	Evacuation *fleet.EvacuationOrder `cbor:"9,keyasint,omitempty"`
}

// state is the replicated state; each change creates a new value.
type state struct {
	Document   fleet.Document              `cbor:"1,keyasint"`
	Promotions map[group.Service]promotion `cbor:"2,keyasint"`
	// Entries are the entries that may hold shares of the quota.
	Entries []inventory.InstanceName `cbor:"3,keyasint"`
	// Servers are the announced databases, from which a new leader starts.
	Servers map[group.Server]fleet.Server `cbor:"4,keyasint"`
	// Reserves are the quota tokens from which a new leader starts.
	Reserves quota.Reserves `cbor:"5,keyasint"`
	// Epoch is the last change of Promotions.
	Epoch fleet.Epoch `cbor:"6,keyasint,omitempty"`
	// Terms are the highest terms that primaries were seen to lead.
	Terms map[group.Service]group.Term `cbor:"7,keyasint,omitempty"`
	// Evacuated holds the evacuated data centres; EvacuationVersion is their last change.
	Evacuated         evacuation.Set     `cbor:"8,keyasint,omitempty"`
	EvacuationVersion evacuation.Version `cbor:"9,keyasint,omitempty"`
}

// apply returns the state after a command.
func (s *state) apply(index journal.Index, c command) *state {
	next := *s
	switch {
	case c.Document != nil:
		if c.Document.Version > s.Document.Version {
			next.Document = *c.Document
			// The reserves were computed from the limits of the previous document.
			next.Reserves.Tokens = nil
		}
	case c.Promotion != nil:
		a := *c.Promotion
		a.Token = index
		a.Epoch, next.Epoch = fleet.Epoch(index), fleet.Epoch(index)
		next.setPromotion(a)
	case c.Suspension != nil:
		a := s.Promotions[c.Suspension.Service]
		a.Service, a.Suspended, a.Drain = c.Suspension.Service, true, c.Suspension.Drain
		a.Epoch, next.Epoch = fleet.Epoch(index), fleet.Epoch(index)
		next.setPromotion(a)
	case c.Settlement != nil:
		if a := s.Promotions[c.Settlement.Service]; a.Token == c.Settlement.Token {
			a.Settled = true
			next.setPromotion(a)
		}
	case c.Evacuation != nil:
		if set, changed := s.Evacuated.With(c.Evacuation.DataCentre, !c.Evacuation.End); changed {
			next.Evacuated, next.EvacuationVersion = set, evacuation.Version(index)
		}
	case c.Entries != nil:
		next.Entries = slices.Clone(c.Entries)
	case c.Reserves != nil:
		next.Reserves = *c.Reserves
	case c.Terms != nil:
		next.Terms = make(map[group.Service]group.Term, len(s.Terms)+len(c.Terms))
		maps.Copy(next.Terms, s.Terms)
		for service, term := range c.Terms {
			next.Terms[service] = max(next.Terms[service], term)
		}
	case c.Servers != nil:
		next.Servers = maps.Clone(s.Servers)
		if next.Servers == nil {
			next.Servers = make(map[group.Server]fleet.Server)
		}
		for _, server := range c.Servers {
			if server.Gone {
				delete(next.Servers, server.Name)
			} else {
				next.Servers[server.Name] = server
			}
		}
	}
	return &next
}

// setPromotion replaces the promotion of a service.
func (s *state) setPromotion(a promotion) {
	promotions := make(map[group.Service]promotion, len(s.Promotions)+1)
	maps.Copy(promotions, s.Promotions)
	promotions[a.Service] = a
	s.Promotions = promotions
}

// designations returns the table of designated primaries, ordered by service.
func (s *state) designations() fleet.Designations {
	table := fleet.Designations{Version: s.Epoch}
	for _, a := range s.Promotions {
		table.List = append(table.List, fleet.Designation{Service: a.Service, Server: a.Server, Epoch: a.Epoch, Suspended: a.Suspended, Drain: a.Drain})
	}
	slices.SortFunc(table.List, func(a, b fleet.Designation) int { return cmp.Compare(a.Service, b.Service) })
	return table
}

func decodeState(data []byte) (*state, error) {
	s := &state{}
	if len(data) == 0 {
		return s, nil
	}
	if err := protocol.Decode(data, s); err != nil {
		return nil, fmt.Errorf("coordinator: snapshot: %w", err)
	}
	return s, nil
}
