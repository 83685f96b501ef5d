package group

import (
	"fmt"
	"math"
	"time"
)

// Status is what a member reports of itself for one slot.
type Status struct {
	Slot Slot `json:"slot" cbor:"1,keyasint"`
	Role Role `json:"role" cbor:"2,keyasint"`
	// Term is the term of the primary whose log this member holds.
	Term Term `json:"term" cbor:"3,keyasint"`
	// FencedTerm is the highest term the member has promised; it takes no records of an older one.
	FencedTerm Term `json:"fenced" cbor:"4,keyasint"`
	// Received is the last position that is durable on the member.
	Received Position `json:"received" cbor:"5,keyasint"`
	// Applied is the last position that reads on the member can see.
	Applied Position `json:"applied" cbor:"6,keyasint"`
	// Lag is how far the visible state lies behind the member's primary; 0 on a primary.
	Lag time.Duration `json:"age" cbor:"7,keyasint"`
}

// statusFormat is the order of fields of a status in a parameter of the PostgreSQL protocol.
const statusFormat = "slot=%d role=%s term=%d fenced=%d received=%d applied=%d ageMs=%d"

// String formats the status as the databases report it in the parameter "lentilwind.position".
func (s Status) String() string {
	return fmt.Sprintf(statusFormat, s.Slot, s.Role, s.Term, s.FencedTerm, s.Received, s.Applied, s.Lag.Milliseconds())
}

// ParseStatus reads a status in the format of String, from text or bytes.
func ParseStatus[T string | []byte](text T) (Status, error) {
	f := fields[T]{rest: text}
	s := Status{Slot: Slot(f.number("slot=", math.MaxUint16))}
	s.Role = f.role()
	s.Term = Term(f.number(" term=", math.MaxUint64))
	s.FencedTerm = Term(f.number(" fenced=", math.MaxUint64))
	s.Received = Position(f.number(" received=", math.MaxUint64))
	s.Applied = Position(f.number(" applied=", math.MaxUint64))
	s.Lag = time.Duration(f.number(" ageMs=", uint64(math.MaxInt64/time.Millisecond))) * time.Millisecond
	if f.failed || len(f.rest) > 0 {
		return Status{}, fmt.Errorf("group: malformed status %q", string(text))
	}
	return s, nil
}

// fields takes the fields of a status off its text and remembers a failure.
type fields[T string | []byte] struct {
	rest   T
	failed bool
}

func (f *fields[T]) skip(label string) bool {
	if len(f.rest) < len(label) || string(f.rest[:len(label)]) != label {
		return false
	}
	f.rest = f.rest[len(label):]
	return true
}

func (f *fields[T]) role() Role {
	switch {
	case f.skip(" role=primary"):
		return RolePrimary
	case f.skip(" role=replica"):
		return RoleReplica
	}
	f.failed = true
	return ""
}

func (f *fields[T]) number(label string, limit uint64) uint64 {
	const base = 10
	if !f.skip(label) {
		f.failed = true
		return 0
	}
	var value uint64
	digits := 0
	for digits < len(f.rest) && '0' <= f.rest[digits] && f.rest[digits] <= '9' {
		digit := uint64(f.rest[digits] - '0')
		if value > (limit-digit)/base {
			f.failed = true
			return 0
		}
		value = value*base + digit
		digits++
	}
	f.failed = f.failed || digits == 0
	f.rest = f.rest[digits:]
	return value
}

// Floor is the least state of a group that a session may be shown.
type Floor struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// SatisfiedBy tells whether a member with this status shows at least the floor.
//
// A member in an older term may hold other records at the same positions, so its term must have reached the floor's.
func (f Floor) SatisfiedBy(s Status) bool {
	return s.Term >= f.Term && s.Applied >= f.Position
}

// Merge returns the higher of two floors of the same group.
//
// Both positions were acknowledged, so a later term holds the earlier term's position too.
func (f Floor) Merge(other Floor) Floor {
	return Floor{Term: max(f.Term, other.Term), Position: max(f.Position, other.Position)}
}
