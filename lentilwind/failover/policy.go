package failover

import (
	"cmp"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// rules are the parts of the decision on which safety rests.
type rules struct {
	// quorum is the number of members out of n that must be fenced.
	quorum func(n int) int
	// compare orders two fenced members by what their logs hold.
	compare func(a, b group.Status) int
	// appoint goes on with the chosen member.
	appoint func(m *Machine, now time.Time, chosen *member)
}

func defaultRules() rules {
	return rules{quorum: majority, compare: compareLogs, appoint: appoint}
}

func majority(n int) int { return n/2 + 1 }

// compareLogs puts the term of the log before its length.
//
// An acknowledged write was received by a majority in its own term, and a log of a later term holds all of these, so the
// greatest log among a fenced majority holds every acknowledged write.
func compareLogs(a, b group.Status) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Received, b.Received))
}

// counted returns the fenced members that may decide.
//
// A member without a log may have lost it, so its silence about a write proves nothing. It counts only in the first term
// and once every member has answered, when there is nothing more to learn.
func (m *Machine) counted() []*member {
	var fenced, logged []*member
	for _, mb := range m.members {
		if !mb.fenced {
			continue
		}
		fenced = append(fenced, mb)
		if !blank(mb.fenceAnswer) {
			logged = append(logged, mb)
		}
	}
	first := m.config.Term == 1 && len(logged) == 0
	if first || len(fenced) == len(m.members) {
		return fenced
	}
	return logged
}

// choose returns the member with the greatest log; among equals, the one least likely to fail soon.
//
// Any majority will do, so a member that can't replicate is left out if the others are one.
func (m *Machine) choose(counted []*member) *member {
	others := slices.DeleteFunc(slices.Clone(counted), func(mb *member) bool { return mb.Server == m.shunned })
	if len(others) >= m.rules.quorum(len(m.members)) {
		counted = others
	}
	return slices.MaxFunc(counted, func(a, b *member) int {
		return cmp.Or(m.rules.compare(a.fenceAnswer, b.fenceAnswer), m.prefer(a, b))
	})
}

// prefer compares two members that may safely be chosen; the greater one is the better primary.
func (m *Machine) prefer(a, b *member) int {
	return cmp.Or(
		-compareBool(a.failed, b.failed),
		-compareBool(a.leaving, b.leaving),
		compareBool(a.Server == m.handover.target, b.Server == m.handover.target),
		-cmp.Compare(m.failsWithFailed(a), m.failsWithFailed(b)),
		-compareBool(m.besidePrevious(a), m.besidePrevious(b)),
		-cmp.Compare(m.load(a), m.load(b)),
		-cmp.Compare(m.failsWithOthers(a), m.failsWithOthers(b)),
		-cmp.Compare(a.Server, b.Server),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// failsWithFailed weighs how often the member vanished together with members that are gone now.
func (m *Machine) failsWithFailed(candidate *member) float64 {
	return m.failsWith(candidate, func(mb *member) bool { return mb.failed || mb.Server == m.previous })
}

// failsWithOthers weighs how often the member vanished together with any other.
func (m *Machine) failsWithOthers(candidate *member) float64 {
	return m.failsWith(candidate, func(*member) bool { return true })
}

func (m *Machine) failsWith(candidate *member, relevant func(*member) bool) float64 {
	if m.cfg.FailureCorrelation == nil {
		return 0
	}
	sum := 0.0
	for _, mb := range m.members {
		if mb != candidate && relevant(mb) {
			sum += m.cfg.FailureCorrelation(candidate.Server, mb.Server)
		}
	}
	return sum
}

// load returns the number of groups that the member is the primary of already.
func (m *Machine) load(candidate *member) int {
	if m.cfg.PrimaryCount == nil {
		return 0
	}
	return m.cfg.PrimaryCount(candidate.Server)
}

// besidePrevious tells whether the member stands in the data centre of the primary that is being replaced.
func (m *Machine) besidePrevious(candidate *member) bool {
	previous := m.member(m.previous)
	return previous != nil && previous.failed && previous.DataCentre == candidate.DataCentre
}
