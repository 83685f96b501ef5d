package positions

import (
	"fmt"

	"lentilwind.dev/lentilwind/group"
)

// Reason is why a confirmation failed.
type Reason string

// Reasons of an Error.
const (
	// Superseded means that a newer term of the group is known.
	Superseded Reason = "replaced"
	// TimedOut means that no majority confirmed in time.
	TimedOut Reason = "timedOut"
	// UnknownGroup means that the group is not in the inventory.
	UnknownGroup Reason = "unknownGroup"
)

// Error reports a failed confirmation. The write may still have taken effect.
type Error struct {
	Group  group.ID
	Term   group.Term
	Reason Reason
}

func (e *Error) Error() string {
	return fmt.Sprintf("positions: group %s, term %d: %s", e.Group, e.Term, e.Reason)
}
