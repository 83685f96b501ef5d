package confirm

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// StatusSample is one member's status and the time at which the request for it was sent. The time is zero if the member has
// not reported a status.
type StatusSample struct {
	Status group.Status
	SentAt time.Time
}

// WriteState is what is known about a write.
type WriteState string

// Write states.
const (
	// Waiting means that a majority has not reported the write yet.
	Waiting WriteState = "waiting"
	// Confirmed means that a majority held the write in its term before any of its members promised a newer term.
	Confirmed WriteState = "confirmed"
	// Superseded means that a newer term is known, so that the old primary can no longer decide the write's outcome.
	Superseded WriteState = "replaced"
)

// Majority returns the least number of members such that any two groups of that size overlap.
func Majority(members int) int { return members/2 + 1 }

// followsTerm reports whether the member's log is of exactly this term and the member has not promised a newer one.
func (s StatusSample) followsTerm(term group.Term) bool {
	return !s.SentAt.IsZero() && s.Status.Term == term && s.Status.FencedTerm <= term
}

// CheckWrite returns the state of a write of a term at a position, from one sample of each listed member including the
// primary.
//
// The samples may be of different times: each counted member stored the position durably before it promised a newer term, and
// a replacement asks a majority for its positions after their promises, so at least one of the counted members is among them.
func CheckWrite(samples []StatusSample, term group.Term, position group.Position) WriteState {
	count := 0
	for _, sample := range samples {
		if sample.Status.Term > term {
			return Superseded
		}
		if sample.followsTerm(term) && sample.Status.Received >= position {
			count++
		}
	}
	if count >= Majority(len(samples)) {
		return Confirmed
	}
	return Waiting
}

// maxInlineMembers is the number of members up to which TermConfirmedAt does not allocate.
const maxInlineMembers = 16

// TermConfirmedAt returns the latest time at which a majority is known to have been in the term without a promise for a newer
// one; zero if there is none.
//
// No newer primary had a write acknowledged before that time, since that write's majority would have included a member of this
// majority.
func TermConfirmedAt(samples []StatusSample, term group.Term) time.Time {
	var inline [maxInlineMembers]time.Time
	times := inline[:0]
	for _, sample := range samples {
		if sample.followsTerm(term) {
			times = append(times, sample.SentAt)
		}
	}
	if len(times) < Majority(len(samples)) {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[Majority(len(samples))-1]
}

// ReadFloor returns the minimum term and position that cover every write acknowledged before a time, and false while no
// majority has answered requests sent since.
//
// Each acknowledged write is held by a majority, which overlaps with the majority that was asked. The member in both reports
// the write's term with at least its position, or a newer term, whose log starts after the write.
func ReadFloor(samples []StatusSample, since time.Time) (group.Floor, bool) {
	var floor group.Floor
	count := 0
	for _, sample := range samples {
		if sample.SentAt.IsZero() || sample.SentAt.Before(since) {
			continue
		}
		count++
		floor = maxFloor(floor, sample.Status)
	}
	return floor, count >= Majority(len(samples))
}

func maxFloor(floor group.Floor, status group.Status) group.Floor {
	if status.Term < floor.Term {
		return floor
	}
	if status.Term > floor.Term {
		return group.Floor{Term: status.Term, Position: status.Received}
	}
	floor.Position = max(floor.Position, status.Received)
	return floor
}
