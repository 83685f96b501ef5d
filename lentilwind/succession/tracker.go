package succession

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// ProbeResult is what a question to a primary has shown.
type ProbeResult string

// The answers.
const (
	// ProbePrimary means that the database was the primary when it answered.
	ProbePrimary ProbeResult = "leads"
	// ProbeReplica means that it is a replica.
	ProbeReplica ProbeResult = "follows"
	// ProbeRoleUnknown means that it answered, but did not tell its role.
	ProbeRoleUnknown ProbeResult = "alive"
	// ProbeNoAnswer means that it could not be reached or was silent.
	ProbeNoAnswer ProbeResult = "noAnswer"
)

// Reason tells why a primary has to be replaced.
type Reason string

// The reasons.
const (
	// ReasonSilent primaries answer neither control nor any entry.
	ReasonSilent Reason = "silent"
	// ReasonLeaving primaries are about to stop.
	ReasonLeaving Reason = "leaving"
	// ReasonMissing means that no member claims to be the primary.
	ReasonMissing Reason = "missing"
)

// Limits of suspicion.
const (
	// silentProbes is how many questions in a row must have got no answer.
	silentProbes = 2
	// entryFresh is how recent an entry's last answer from a primary must be to speak for it.
	entryFresh = 400 * time.Millisecond
	// reportFresh is how old a report may be.
	reportFresh = 900 * time.Millisecond
	// missingFor is how long a group may be without a claimed primary: two announcements and a delay.
	missingFor = 2600 * time.Millisecond
	// settle is how long after a promotion nothing is held against the new primary.
	settle = 300 * time.Millisecond
)

// Member is one database of the group.
type Member struct {
	Server      group.Server
	Incarnation int64
	Primary     bool
	Leaving     bool
	// AnnouncedAt is when it last announced itself.
	AnnouncedAt time.Time
}

// Tracker is what control knows of one group; the zero value knows nothing.
type Tracker struct {
	Members []Member

	primary     group.Server
	incarnation int64
	// appointed is when the primary was appointed by this leader.
	appointed time.Time
	// silent counts the questions without an answer since the last one with.
	silent int
	// spokenFor is the newest moment at which any entry had an answer from the primary.
	spokenFor    time.Time
	missingSince time.Time
	follows      bool
}

// Primary returns the member that is taken for the primary, empty if there is none.
func (s *Tracker) Primary() group.Server {
	for _, m := range s.Members {
		if m.Server == s.primary && m.Incarnation == s.incarnation && (m.Primary || !s.appointed.IsZero() && !s.follows) {
			return s.primary
		}
	}
	for _, m := range s.Members {
		if m.Primary {
			s.take(m)
			return s.primary
		}
	}
	s.primary = ""
	return ""
}

func (s *Tracker) take(m Member) {
	s.primary, s.incarnation = m.Server, m.Incarnation
	s.appointed, s.silent, s.spokenFor, s.follows = time.Time{}, 0, time.Time{}, false
}

// MarkPromoted notes that a member has taken over.
func (s *Tracker) MarkPromoted(server group.Server, now time.Time) {
	for _, m := range s.Members {
		if m.Server == server {
			s.take(m)
			s.appointed = now
		}
	}
}

// HandleProbe takes in the answer to a question that was sent at a time.
func (s *Tracker) HandleProbe(server group.Server, _, now time.Time, answer ProbeResult) {
	if server != s.primary {
		return
	}
	switch answer {
	case ProbeNoAnswer:
		s.silent++
	case ProbeReplica:
		s.silent = 0
		if now.Sub(s.appointed) > settle {
			s.follows = true
		}
	default:
		s.silent, s.follows = 0, false
	}
}

// HandleEntryReport takes in what an entry saw: how long before its report the server last answered, and the report's age.
func (s *Tracker) HandleEntryReport(now time.Time, server group.Server, answered, failing, age time.Duration) {
	if server != s.primary || answered == 0 || age > reportFresh || failing > 0 && failing < answered {
		return
	}
	if at := now.Add(-answered - age); at.After(s.spokenFor) {
		s.spokenFor = at
	}
}

// Decide tells whether a replica has to be promoted now, and why.
func (s *Tracker) Decide(now time.Time) (Reason, bool) {
	primary := s.Primary()
	if primary == "" {
		return s.decideMissing(now)
	}
	s.missingSince = time.Time{}
	if !s.appointed.IsZero() && now.Sub(s.appointed) < settle {
		return "", false
	}
	for _, m := range s.Members {
		if m.Server == primary && m.Leaving && s.hasHeir() {
			return ReasonLeaving, true
		}
	}
	if s.silent >= silentProbes && now.Sub(s.spokenFor) > entryFresh {
		return ReasonSilent, true
	}
	return "", false
}

// decideMissing replaces a primary that nobody claims to be, once the members had time to say so.
func (s *Tracker) decideMissing(now time.Time) (Reason, bool) {
	if len(s.Members) == 0 {
		s.missingSince = time.Time{}
		return "", false
	}
	if s.missingSince.IsZero() {
		s.missingSince = now
	}
	return ReasonMissing, now.Sub(s.missingSince) > missingFor
}

func (s *Tracker) hasHeir() bool {
	for _, m := range s.Members {
		if m.Server != s.primary && !m.Leaving {
			return true
		}
	}
	return false
}
