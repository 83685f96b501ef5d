package succession

import "lentilwind.dev/lentilwind/group"

// Candidate is a listed server that may be promoted.
type Candidate struct {
	Server group.Server
	// Answered is false if the server has not reported its position; Received is the end of its log if it has.
	Answered bool
	Received group.Floor
	// AtLeast means that Received is only a lower bound of the end of the log, so that the log may be longer.
	AtLeast bool
}

// Order is the last promotion that was ordered for a group; it is zero if none was.
type Order struct {
	Server group.Server
	// After is the newest term that was known when the order was decided. If the order was carried out, the server has led a later one.
	After group.Term
}

// ChooseSuccessor returns the candidate with the newest log. Newest is the highest term that any primary of the group was seen to lead.
//
// A log that ends in an older term may lack commits of the newest one, and hold some that it has left out. So it is chosen only if no
// silent candidate may still have the newest log, whether its term was seen or it was ordered to lead one and nobody saw the result. A
// candidate of which only a lower bound is known may have it too. Of equal logs the first one is chosen, so the candidates should stand in the
// order of their answers: who answers first is near and has work to spare. ChooseSuccessor returns false if no candidate should be promoted now.
func ChooseSuccessor(newest group.Term, ordered Order, candidates []Candidate) (Candidate, bool) {
	var best Candidate
	for _, c := range candidates {
		if c.Answered && (!best.Answered || prefer(c, best, ordered)) {
			best = c
		}
	}
	hidden, orderedHidden := false, false
	for _, c := range candidates {
		if c.Answered && (!c.AtLeast || c.Server == best.Server) {
			continue
		}
		hidden = true
		orderedHidden = orderedHidden || ordered.After > 0 && c.Server == ordered.Server
	}
	if !best.Answered || hidden && best.Received.Term < newest || orderedHidden && best.Received.Term <= ordered.After {
		return Candidate{}, false
	}
	return best, true
}

// prefer reports whether a is the better successor. Of two equal positions, the one that is a lower bound may belong to a longer log, and a
// server that was ordered to lead may do so at any time.
func prefer(a, b Candidate, ordered Order) bool {
	switch {
	case a.Received != b.Received:
		return b.Received.Less(a.Received)
	case a.AtLeast != b.AtLeast:
		return a.AtLeast
	default:
		return a.Server == ordered.Server
	}
}

// MayBeNewer reports whether a candidate other than the chosen one may have the newer log, because only a lower bound of its end is known.
func MayBeNewer(chosen Candidate, candidates []Candidate) bool {
	for _, c := range candidates {
		if c.Answered && c.AtLeast && c.Server != chosen.Server {
			return true
		}
	}
	return false
}
