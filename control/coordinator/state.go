package coordinator

import (
	"fmt"
	"maps"
	"slices"

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
}

// command is one change of the replicated state; exactly one field is set.
type command struct {
	Document  *fleet.Document          `cbor:"1,keyasint,omitempty"`
	Promotion *promotion               `cbor:"2,keyasint,omitempty"`
	Entries   []inventory.InstanceName `cbor:"3,keyasint,omitempty"`
	Servers   []fleet.Server           `cbor:"4,keyasint,omitempty"`
	Reserves  *quota.Reserves          `cbor:"5,keyasint,omitempty"`
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
		next.Promotions = maps.Clone(s.Promotions)
		if next.Promotions == nil {
			next.Promotions = make(map[group.Service]promotion)
		}
		a := *c.Promotion
		a.Token = index
		next.Promotions[a.Service] = a
	case c.Entries != nil:
		next.Entries = slices.Clone(c.Entries)
	case c.Reserves != nil:
		next.Reserves = *c.Reserves
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
