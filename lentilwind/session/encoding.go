package session

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"

	"lentilwind.dev/lentilwind/group"
)

// maxServiceBytes bounds the length of a service's name; the inventory enforces the same limit.
const maxServiceBytes = 63

// flagPartial is the bit in the first byte of a payload that marks a partial state; the other bits are 0.
const flagPartial = 1

// encodeState encodes the floors of a state, ordered by group; floors that do not fit are left out and the state is marked partial.
//
// A record consists of the length of the service's name, the name, the slot, the term and the position. A length of 0 means the
// service of the previous record.
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
	d := decoder{rest: payload[1:]}
	var service group.Service
	for len(d.rest) > 0 && !d.failed {
		if name := d.name(); name != "" {
			service = name
		}
		id := group.ID{Service: service, Slot: group.Slot(d.uvarint(math.MaxUint16))}
		floor := group.Floor{Term: group.Term(d.uvarint(math.MaxUint64)), Position: group.Position(d.uvarint(math.MaxUint64))}
		if service == "" {
			d.failed = true
		}
		state.Raise(id, floor)
	}
	if d.failed {
		return State{}, fmt.Errorf("%w: truncated", ErrToken)
	}
	return state, nil
}

// decoder reads fields from a payload and records whether one of them was invalid.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint(limit uint64) uint64 {
	value, n := binary.Uvarint(d.rest)
	if n <= 0 || value > limit {
		d.failed = true
		d.rest = nil
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

func (d *decoder) name() group.Service {
	n := int(d.uvarint(maxServiceBytes))
	if n > len(d.rest) {
		d.failed = true
		d.rest = nil
		return ""
	}
	name := d.rest[:n]
	d.rest = d.rest[n:]
	return group.Service(name)
}
