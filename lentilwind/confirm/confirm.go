package confirm

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// StatusSample is one member's status and the time at which the request for it was sent; a zero time stands for a member that has
// given no status.
type StatusSample struct {
	Status group.Status
	SentAt time.Time
}

// WriteState is what is known of a write.
type WriteState string

// The verdicts.
const (
	// Waiting means that a majority has not reported the write yet.
	Waiting WriteState = "waiting"
	// Confirmed means that a majority held the write in its term before any of it promised a newer one.
	Confirmed WriteState = "confirmed"
	// Superseded means that a newer term is known, so that the write's outcome is no longer the old primary's to give.
	Superseded WriteState = "replaced"
)

// Majority returns the least number of members that every other majority meets.
func Majority(members int) int { return members/2 + 1 }

// holds tells whether the member has the log of exactly this term and has promised no newer one.
func (s StatusSample) holds(term group.Term) bool {
	return !s.SentAt.IsZero() && s.Status.Term == term && s.Status.FencedTerm <= term
}

// CheckWrite judges a write of a term at a position from one sample of each listed member, the primary included.
//
// The samples may be of different times: each counted member held the position durably before it promised a newer term, and
// a replacement asks a majority for its positions after their promises, so it meets one of the counted members.
func CheckWrite(samples []StatusSample, term group.Term, position group.Position) WriteState {
	count := 0
	for _, sample := range samples {
		if sample.Status.Term > term {
			return Superseded
		}
		if sample.holds(term) && sample.Status.Received >= position {
			count++
		}
	}
	if count >= Majority(len(samples)) {
		return Confirmed
	}
	return Waiting
}

// maxInline is the number of members up to which a decision needs no memory of its own.
const maxInline = 16

// TermConfirmedAt returns the newest time at which a majority is known to have been in the term with no newer promise; zero if never.
//
// No newer primary had a write acknowledged before that time: its majority would have had a member of this one in its term.
func TermConfirmedAt(samples []StatusSample, term group.Term) time.Time {
	var inline [maxInline]time.Time
	starts := inline[:0]
	for _, sample := range samples {
		if sample.holds(term) {
			starts = append(starts, sample.SentAt)
		}
	}
	if len(starts) < Majority(len(samples)) {
		return time.Time{}
	}
	slices.SortFunc(starts, func(a, b time.Time) int { return b.Compare(a) })
	return starts[Majority(len(samples))-1]
}

// ReadFloor returns the least state that shows every write acknowledged before a time; false while no majority has answered
// requests sent since.
//
// Each acknowledged write is held by a majority, which meets the majority asked. The member in both reports the write's term
// with its position, or a newer term, whose log begins behind the write.
func ReadFloor(samples []StatusSample, since time.Time) (group.Floor, bool) {
	var floor group.Floor
	count := 0
	for _, sample := range samples {
		if sample.SentAt.IsZero() || sample.SentAt.Before(since) {
			continue
		}
		count++
		floor = newest(floor, sample.Status)
	}
	return floor, count >= Majority(len(samples))
}

func newest(floor group.Floor, status group.Status) group.Floor {
	if status.Term < floor.Term {
		return floor
	}
	if status.Term > floor.Term {
		return group.Floor{Term: status.Term, Position: status.Received}
	}
	floor.Position = max(floor.Position, status.Received)
	return floor
}
