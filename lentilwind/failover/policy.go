package failover

import (
	"cmp"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// rules are the parts of the decision that safety depends on; tests replace them to inject faults.
type rules struct {
	// quorum returns the number of members out of n that must be fenced.
	quorum func(n int) int
	// compareLogs orders two fenced members by how complete their logs are.
	compareLogs func(a, b group.Status) int
	// recordPrimary continues the failover with the selected member.
	recordPrimary func(m *Machine, now time.Time, selected *member)
}

func defaultRules() rules {
	return rules{quorum: majority, compareLogs: compareLogs, recordPrimary: recordPrimary}
}

func majority(n int) int { return n/2 + 1 }

// compareLogs compares logs by their term first and by their length second.
//
// An acknowledged write was received by a majority in its own term, and a log of a later term contains all such writes, so
// the greatest log among a fenced majority contains every acknowledged write.
func compareLogs(a, b group.Status) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Received, b.Received))
}

// eligibleMembers returns the fenced members that count towards the majority.
//
// A member without a log may have lost it, so the absence of a write from it proves nothing. Such a member counts only in
// the first term, if no member has a log, and once every member has answered, since no further answers can arrive then.
func (m *Machine) eligibleMembers() []*member {
	var fenced, withLog []*member
	for _, mb := range m.members {
		if !mb.fenced {
			continue
		}
		fenced = append(fenced, mb)
		if !hasNoLog(mb.fenceAnswer) {
			withLog = append(withLog, mb)
		}
	}
	firstTerm := m.journalled.Term == 1 && len(withLog) == 0
	if firstTerm || len(fenced) == len(m.members) {
		return fenced
	}
	return withLog
}

// selectPrimary returns the member with the greatest log; ties go to the one that comparePreference ranks higher,
// mainly the one less likely to fail soon.
//
// Any fenced majority is sufficient, so the isolated primary is left out if the other members form a majority.
func (m *Machine) selectPrimary(candidates []*member) *member {
	others := slices.DeleteFunc(slices.Clone(candidates), func(mb *member) bool { return mb.Server == m.isolatedPrimary })
	if len(others) >= m.rules.quorum(len(m.members)) {
		candidates = others
	}
	return slices.MaxFunc(candidates, func(a, b *member) int {
		return cmp.Or(m.rules.compareLogs(a.fenceAnswer, b.fenceAnswer), m.comparePreference(a, b))
	})
}

// comparePreference compares two members that may both be selected safely; the greater one is the better primary.
func (m *Machine) comparePreference(a, b *member) int {
	return cmp.Or(
		-compareBool(a.failed, b.failed),
		-compareBool(a.leaving, b.leaving),
		compareBool(a.Server == m.handover.target, b.Server == m.handover.target),
		-cmp.Compare(m.correlationWithFailed(a), m.correlationWithFailed(b)),
		-compareBool(m.inDataCentreOfFailedPrimary(a), m.inDataCentreOfFailedPrimary(b)),
		-cmp.Compare(m.primaryCount(a), m.primaryCount(b)),
		-cmp.Compare(m.correlationWithOthers(a), m.correlationWithOthers(b)),
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

// correlationWithFailed sums the failure correlation of the member with the members that have failed now.
func (m *Machine) correlationWithFailed(candidate *member) float64 {
	return m.sumCorrelation(candidate, func(mb *member) bool { return mb.failed || mb.Server == m.previousPrimary })
}

// correlationWithOthers sums the failure correlation of the member with all other members.
func (m *Machine) correlationWithOthers(candidate *member) float64 {
	return m.sumCorrelation(candidate, func(*member) bool { return true })
}

func (m *Machine) sumCorrelation(candidate *member, relevant func(*member) bool) float64 {
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

// primaryCount returns the number of groups that the member is already the primary of.
func (m *Machine) primaryCount(candidate *member) int {
	if m.cfg.PrimaryCount == nil {
		return 0
	}
	return m.cfg.PrimaryCount(candidate.Server)
}

// inDataCentreOfFailedPrimary reports whether the member is in the data centre of the failed primary that is being replaced.
func (m *Machine) inDataCentreOfFailedPrimary(candidate *member) bool {
	previous := m.findMember(m.previousPrimary)
	return previous != nil && previous.failed && previous.DataCentre == candidate.DataCentre
}
