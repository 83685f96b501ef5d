package succession

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Answer is what a question to a primary has shown.
type Answer string

// The answers.
const (
	// Leads means that the database was the primary when it answered.
	Leads Answer = "leads"
	// Follows means that it is a replica.
	Follows Answer = "follows"
	// Alive means that it answered, but did not tell its role.
	Alive Answer = "alive"
	// NoAnswer means that it could not be reached or was silent.
	NoAnswer Answer = "noAnswer"
)

// Reason tells why a primary has to be replaced.
type Reason string

// The reasons.
const (
	// Silent primaries answer neither control nor any entry.
	Silent Reason = "silent"
	// Leaving primaries are about to stop.
	Leaving Reason = "leaving"
	// Missing means that no member claims to be the primary.
	Missing Reason = "missing"
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
	// Heard is when it last announced itself.
	Heard time.Time
}

// Service is what control knows of one group; the zero value knows nothing.
type Service struct {
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
func (s *Service) Primary() group.Server {
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

func (s *Service) take(m Member) {
	s.primary, s.incarnation = m.Server, m.Incarnation
	s.appointed, s.silent, s.spokenFor, s.follows = time.Time{}, 0, time.Time{}, false
}

// Appointed notes that a member has taken over.
func (s *Service) Appointed(server group.Server, now time.Time) {
	for _, m := range s.Members {
		if m.Server == server {
			s.take(m)
			s.appointed = now
		}
	}
}

// Probed takes in the answer to a question that was sent at a time.
func (s *Service) Probed(server group.Server, _, now time.Time, answer Answer) {
	if server != s.primary {
		return
	}
	switch answer {
	case NoAnswer:
		s.silent++
	case Follows:
		s.silent = 0
		if now.Sub(s.appointed) > settle {
			s.follows = true
		}
	default:
		s.silent, s.follows = 0, false
	}
}

// Report takes in what an entry saw: how long before its report the server last answered, and the report's age.
func (s *Service) Report(now time.Time, server group.Server, answered, failing, age time.Duration) {
	if server != s.primary || answered == 0 || age > reportFresh || failing > 0 && failing < answered {
		return
	}
	if at := now.Add(-answered - age); at.After(s.spokenFor) {
		s.spokenFor = at
	}
}

// Decide tells whether a replica has to be promoted now, and why.
func (s *Service) Decide(now time.Time) (Reason, bool) {
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
			return Leaving, true
		}
	}
	if s.silent >= silentProbes && now.Sub(s.spokenFor) > entryFresh {
		return Silent, true
	}
	return "", false
}

// decideMissing replaces a primary that nobody claims to be, once the members had time to say so.
func (s *Service) decideMissing(now time.Time) (Reason, bool) {
	if len(s.Members) == 0 {
		s.missingSince = time.Time{}
		return "", false
	}
	if s.missingSince.IsZero() {
		s.missingSince = now
	}
	return Missing, now.Sub(s.missingSince) > missingFor
}

func (s *Service) hasHeir() bool {
	for _, m := range s.Members {
		if m.Server != s.primary && !m.Leaving {
			return true
		}
	}
	return false
}
