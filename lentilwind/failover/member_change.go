package failover

import (
	"fmt"
	"slices"

	"lentilwind.dev/lentilwind/group"
)

// CheckMemberChange returns the reason why a group's members may not be replaced by next in one step, or "" if they may.
//
// Majorities before and after the change are only guaranteed to overlap if a single member is added or removed.
func CheckMemberChange(current, next []Member) string {
	added, removed := serversNotIn(next, current), serversNotIn(current, next)
	if len(added)+len(removed) <= 1 {
		return ""
	}
	return fmt.Sprintf("databases %v come and %v go at once", added, removed)
}

// serversNotIn returns the servers of list that other does not contain.
func serversNotIn(list, other []Member) []group.Server {
	servers := make([]group.Server, 0)
	for _, mb := range list {
		if !slices.ContainsFunc(other, func(o Member) bool { return o.Server == mb.Server }) {
			servers = append(servers, mb.Server)
		}
	}
	return servers
}

// CaughtUp reports whether a majority of the members holds the primary's log of the term up to the position.
//
// The statuses must answer requests that were sent after the primary had reached the position.
func CaughtUp(members int, term group.Term, position group.Position, statuses []group.Status) bool {
	caughtUp := 0
	for _, status := range statuses {
		if status.Term == term && status.FencedTerm <= term && status.Received >= position {
			caughtUp++
		}
	}
	return caughtUp >= majority(members)
}
