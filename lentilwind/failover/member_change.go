package failover

import (
	"fmt"
	"slices"

	"lentilwind.dev/lentilwind/group"
)

// CheckMemberChange returns why a group's members may not be replaced by the next ones in one step, or nothing.
//
// A majority before and one after a step meet only when a single member comes or goes.
func CheckMemberChange(current, next []Member) string {
	added, removed := missing(next, current), missing(current, next)
	if len(added)+len(removed) <= 1 {
		return ""
	}
	return fmt.Sprintf("databases %v come and %v go at once", added, removed)
}

// missing returns the servers of one list that the other has not.
func missing(list, other []Member) []group.Server {
	names := make([]group.Server, 0)
	for _, mb := range list {
		if !slices.ContainsFunc(other, func(o Member) bool { return o.Server == mb.Server }) {
			names = append(names, mb.Server)
		}
	}
	return names
}

// CaughtUp tells whether a majority of the members is known to hold all that the primary had at a position of its term.
//
// The statuses must answer questions that were asked after the primary was at the position.
func CaughtUp(members int, term group.Term, position group.Position, statuses []group.Status) bool {
	holding := 0
	for _, status := range statuses {
		if status.Term == term && status.FencedTerm <= term && status.Received >= position {
			holding++
		}
	}
	return holding >= majority(members)
}
