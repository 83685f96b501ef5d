package session

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"

	"lentilwind.dev/lentilwind/group"
)

// maxServiceBytes bounds a service's name, as the inventory does.
const maxServiceBytes = 63

// flagPartial in the first byte of a payload marks a partial state; the other bits are 0.
const flagPartial = 1

// encodeState writes the floors of a state in order of their groups; what does not fit is left out.
//
// A record is the length of the service's name, the name, the slot, the term and the position. A length of 0 stands for the
// service of the record before.
func encodeState(state State, maxBytes int) []byte {
	ids := slices.SortedFunc(maps.Keys(state.Floors), group.ID.Compare)
	payload := []byte{0}
	if state.Partial {
		payload[0] |= flagPartial
	}
	var previous group.Service
	var record []byte
	for _, id := range ids {
		record = appendRecord(record[:0], id, previous, state.Floors[id])
		if len(payload)+len(record) > maxBytes {
			payload[0] |= flagPartial
			break
		}
		payload = append(payload, record...)
		previous = id.Service
	}
	return payload
}

func appendRecord(record []byte, id group.ID, previous group.Service, floor group.Floor) []byte {
	name := id.Service
	if name == previous {
		name = ""
	}
	record = binary.AppendUvarint(record, uint64(len(name)))
	record = append(record, name...)
	record = binary.AppendUvarint(record, uint64(id.Slot))
	record = binary.AppendUvarint(record, uint64(floor.Term))
	return binary.AppendUvarint(record, uint64(floor.Position))
}

func decodeState(payload []byte) (State, error) {
	if len(payload) == 0 || payload[0]&^flagPartial != 0 {
		return State{}, fmt.Errorf("%w: unknown format", ErrToken)
	}
	state := State{Partial: payload[0]&flagPartial != 0, Floors: make(map[group.ID]group.Floor)}
	r := reader{rest: payload[1:]}
	var service group.Service
	for len(r.rest) > 0 && !r.failed {
		if name := r.name(); name != "" {
			service = name
		}
		id := group.ID{Service: service, Slot: group.Slot(r.uvarint(math.MaxUint16))}
		floor := group.Floor{Term: group.Term(r.uvarint(math.MaxUint64)), Position: group.Position(r.uvarint(math.MaxUint64))}
		if service == "" {
			r.failed = true
		}
		state.Raise(id, floor)
	}
	if r.failed {
		return State{}, fmt.Errorf("%w: truncated", ErrToken)
	}
	return state, nil
}

// reader takes fields off a payload and remembers a failure.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint(limit uint64) uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 || value > limit {
		r.failed = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *reader) name() group.Service {
	n := int(r.uvarint(maxServiceBytes))
	if n > len(r.rest) {
		r.failed = true
		r.rest = nil
		return ""
	}
	name := r.rest[:n]
	r.rest = r.rest[n:]
	return group.Service(name)
}
