package group

import (
	"fmt"
	"time"
)

// Status is what a member reports of itself for one slot.
type Status struct {
	Slot Slot `json:"slot" cbor:"1,keyasint"`
	Role Role `json:"role" cbor:"2,keyasint"`
	// Term is the term of the primary whose log this member holds.
	Term Term `json:"term" cbor:"3,keyasint"`
	// Fenced is the highest term the member has promised; it takes no records of an older one.
	Fenced Term `json:"fenced" cbor:"4,keyasint"`
	// Received is the last position that is durable on the member.
	Received Position `json:"received" cbor:"5,keyasint"`
	// Applied is the last position that reads on the member can see.
	Applied Position `json:"applied" cbor:"6,keyasint"`
	// Age is how far the visible state lies behind the member's primary; 0 on a primary.
	Age time.Duration `json:"age" cbor:"7,keyasint"`
}

// statusFormat is the order of fields of a status in a parameter of the PostgreSQL protocol.
const statusFormat = "slot=%d role=%s term=%d fenced=%d received=%d applied=%d ageMs=%d"

// String formats the status as the databases report it in the parameter "lentilwind.position".
func (s Status) String() string {
	return fmt.Sprintf(statusFormat, s.Slot, s.Role, s.Term, s.Fenced, s.Received, s.Applied, s.Age.Milliseconds())
}

// ParseStatus reads a status in the format of String.
func ParseStatus(text string) (Status, error) {
	var s Status
	var ageMs int64
	_, err := fmt.Sscanf(text, statusFormat, &s.Slot, &s.Role, &s.Term, &s.Fenced, &s.Received, &s.Applied, &ageMs)
	if err != nil {
		return Status{}, fmt.Errorf("group: status %q: %w", text, err)
	}
	if s.Role != RolePrimary && s.Role != RoleReplica {
		return Status{}, fmt.Errorf("group: status %q: unknown role", text)
	}
	s.Age = time.Duration(ageMs) * time.Millisecond
	return s, nil
}

// Floor is the least state of a group that a session may be shown.
type Floor struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// MetBy tells whether a member with this status shows at least the floor.
//
// A member in an older term may hold other records at the same positions, so its term must have reached the floor's.
func (f Floor) MetBy(s Status) bool {
	return s.Term >= f.Term && s.Applied >= f.Position
}

// Merge returns the higher of two floors of the same group.
//
// Both positions were acknowledged, so a later term holds the earlier term's position too.
func (f Floor) Merge(other Floor) Floor {
	return Floor{Term: max(f.Term, other.Term), Position: max(f.Position, other.Position)}
}
