package group

import (
	"fmt"
	"math"
	"time"
)

// Status is the replication status that a member reports for one slot.
type Status struct {
	Slot Slot `json:"slot" cbor:"1,keyasint"`
	Role Role `json:"role" cbor:"2,keyasint"`
	// Term is the term of the primary whose log the member holds.
	Term Term `json:"term" cbor:"3,keyasint"`
	// FencedTerm is the highest term that the member has promised; it accepts no records of an older term.
	FencedTerm Term `json:"fenced" cbor:"4,keyasint"`
	// Received is the last position that the member has stored durably.
	Received Position `json:"received" cbor:"5,keyasint"`
	// Applied is the last position that is visible to reads on the member.
	Applied Position `json:"applied" cbor:"6,keyasint"`
	// Lag is the time by which the visible state lags behind the primary; 0 on a primary.
	Lag time.Duration `json:"age" cbor:"7,keyasint"`
}

// statusFormat is the text format of a status in a PostgreSQL parameter status message.
const statusFormat = "slot=%d role=%s term=%d fenced=%d received=%d applied=%d ageMs=%d"

// String formats the status as databases report it in the parameter "lentilwind.position".
func (s Status) String() string {
	return fmt.Sprintf(statusFormat, s.Slot, s.Role, s.Term, s.FencedTerm, s.Received, s.Applied, s.Lag.Milliseconds())
}

// ParseStatus parses a status in the format of String.
func ParseStatus[T string | []byte](text T) (Status, error) {
	f := statusParser[T]{rest: text}
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

// statusParser consumes the fields of a status from the start of the text and records a failure.
type statusParser[T string | []byte] struct {
	rest   T
	failed bool
}

func (f *statusParser[T]) consume(label string) bool {
	if len(f.rest) < len(label) || string(f.rest[:len(label)]) != label {
		return false
	}
	f.rest = f.rest[len(label):]
	return true
}

func (f *statusParser[T]) role() Role {
	switch {
	case f.consume(" role=primary"):
		return RolePrimary
	case f.consume(" role=replica"):
		return RoleReplica
	}
	f.failed = true
	return ""
}

func (f *statusParser[T]) number(label string, limit uint64) uint64 {
	const base = 10
	if !f.consume(label) {
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

// Floor is the minimum state of a group that a read in a session must observe.
type Floor struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// SatisfiedBy reports whether a member with the status s serves reads at or above the floor.
//
// A member in an older term may hold different records at the same positions, so its term must not be below that of the floor.
func (f Floor) SatisfiedBy(s Status) bool {
	return s.Term >= f.Term && s.Applied >= f.Position
}

// Merge returns the maximum of two floors of the same group.
//
// Both positions were acknowledged, so the log of the later term contains the position of the earlier one.
func (f Floor) Merge(other Floor) Floor {
	return Floor{Term: max(f.Term, other.Term), Position: max(f.Position, other.Position)}
}
