package positions

import (
	"fmt"

	"lentilwind.dev/lentilwind/group"
)

// Reason says why a confirmation was not given.
type Reason string

// The reasons.
const (
	// Superseded means that a newer term is known.
	Superseded Reason = "replaced"
	// TimedOut means that no majority has answered in time.
	TimedOut Reason = "timedOut"
	// UnknownGroup means that the inventory has no such group.
	UnknownGroup Reason = "unknownGroup"
)

// Error is a confirmation that was not given; what was asked about may have happened nevertheless.
type Error struct {
	Group  group.ID
	Term   group.Term
	Reason Reason
}

// Error formats the error.
func (e *Error) Error() string {
	return fmt.Sprintf("positions: group %s, term %d: %s", e.Group, e.Term, e.Reason)
}
