package succession

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// ProbeResult is the result of asking a database for its role.
type ProbeResult string

// The results of probes.
const (
	// ProbePrimary means that the database was the primary when it answered.
	ProbePrimary ProbeResult = "leads"
	// ProbeReplica means that the database answered that it is a replica.
	ProbeReplica ProbeResult = "follows"
	// ProbeRoleUnknown means that the database answered, but not with its role.
	ProbeRoleUnknown ProbeResult = "alive"
	// ProbeNoAnswer means that the database could not be reached or did not answer.
	ProbeNoAnswer ProbeResult = "noAnswer"
)

// Reason is the reason why a primary must be replaced.
type Reason string

// The reasons for replacing a primary.
const (
	// ReasonSilent means that the primary answers neither control nor any entry.
	ReasonSilent Reason = "silent"
	// ReasonLeaving means that the primary is about to stop.
	ReasonLeaving Reason = "leaving"
	// ReasonMissing means that no member announces itself as the primary.
	ReasonMissing Reason = "missing"
	// ReasonNotLeading means that the designated primary answers that it is a replica, or that no primary is designated.
	ReasonNotLeading Reason = "notLeading"
)

// Limits of failure detection.
const (
	// unansweredProbeLimit is the number of consecutive unanswered probes after which a primary counts as silent.
	unansweredProbeLimit = 2
	// replicaAnswerLimit is the number of consecutive probes answered by a replica after which a designated primary does not lead.
	replicaAnswerLimit = 2
	// maxEntryContactAge is the maximum age of an entry's last answer from a primary for the primary to count as alive.
	maxEntryContactAge = 400 * time.Millisecond
	// maxReportAge is the maximum age of an entry's report that is taken into account.
	maxReportAge = 900 * time.Millisecond
	// missingTimeout is how long no member may announce itself as the primary: two announcement intervals and a delay.
	missingTimeout = 2600 * time.Millisecond
	// promotionGrace is the time after a promotion in which the new primary is not replaced.
	promotionGrace = 300 * time.Millisecond
)

// Member is one database of the group.
type Member struct {
	Server      group.Server
	Incarnation int64
	Primary     bool
	Leaving     bool
	// AnnouncedAt is the time of the member's last announcement.
	AnnouncedAt time.Time
}

// Tracker tracks the primary of one group and decides when it must be replaced; the zero value is ready to use.
type Tracker struct {
	Members []Member
	// Designated is the only server that may be the primary; "" if the announcements decide. Suspended means that it has lost that right
	// and that none has got it yet.
	Designated group.Server
	Suspended  bool

	primary     group.Server
	incarnation int64
	// promotedAt is the time at which this leader had the primary promoted; zero if it did not.
	promotedAt time.Time
	// unansweredProbes counts the consecutive probes without an answer.
	unansweredProbes int
	// lastEntryContact is the latest time at which any entry got an answer from the primary.
	lastEntryContact time.Time
	// lastEntryFailure is the latest time at which any entry reported that the primary does not answer.
	lastEntryFailure time.Time
	missingSince     time.Time
	// replicaAnswers counts the consecutive probes that a replica answered.
	replicaAnswers int
	// isReplica is set if the primary last answered, after promotionGrace, that it is a replica.
	isReplica bool
}

// Primary returns the member that is considered the primary, or "" if there is none.
func (t *Tracker) Primary() group.Server {
	if t.Designated != "" {
		return t.designatedPrimary()
	}
	for _, m := range t.Members {
		if m.Server == t.primary && m.Incarnation == t.incarnation && (m.Primary || !t.promotedAt.IsZero() && !t.isReplica) {
			return t.primary
		}
	}
	for _, m := range t.Members {
		if m.Primary {
			t.setPrimary(m)
			return t.primary
		}
	}
	t.primary = ""
	return ""
}

// designatedPrimary returns the designated server if it is a member, whatever the members announce.
func (t *Tracker) designatedPrimary() group.Server {
	for _, m := range t.Members {
		if m.Server != t.Designated {
			continue
		}
		if m.Server != t.primary || m.Incarnation != t.incarnation {
			t.setPrimary(m)
		}
		return t.primary
	}
	t.primary = ""
	return ""
}

// setPrimary makes m the primary and resets what is known of the previous one.
func (t *Tracker) setPrimary(m Member) {
	t.primary, t.incarnation = m.Server, m.Incarnation
	t.promotedAt, t.unansweredProbes, t.lastEntryContact, t.isReplica = time.Time{}, 0, time.Time{}, false
	t.replicaAnswers, t.lastEntryFailure = 0, time.Time{}
}

// MarkPromoted records that a member was promoted to primary.
func (t *Tracker) MarkPromoted(server group.Server, now time.Time) {
	for _, m := range t.Members {
		if m.Server == server {
			t.setPrimary(m)
			t.promotedAt = now
		}
	}
}

// HandleProbe processes the result of a probe.
func (t *Tracker) HandleProbe(server group.Server, _, now time.Time, answer ProbeResult) {
	if server != t.primary {
		return
	}
	switch answer {
	case ProbeNoAnswer:
		t.unansweredProbes++
	case ProbeReplica:
		t.unansweredProbes = 0
		t.replicaAnswers++
		if now.Sub(t.promotedAt) > promotionGrace {
			t.isReplica = true
		}
	default:
		t.unansweredProbes, t.replicaAnswers, t.isReplica = 0, 0, false
	}
}

// HandleEntryReport processes an entry's report of a server: how long before the report the server last answered, for how
// long it has been failing, and the age of the report.
func (t *Tracker) HandleEntryReport(now time.Time, server group.Server, sinceAnswer, failingFor, age time.Duration) {
	if server != t.primary || age > maxReportAge {
		return
	}
	if failingFor > 0 && (sinceAnswer == 0 || failingFor < sinceAnswer) {
		t.lastEntryFailure = later(t.lastEntryFailure, now.Add(-age))
		return
	}
	if sinceAnswer == 0 {
		return
	}
	if at := now.Add(-sinceAnswer - age); at.After(t.lastEntryContact) {
		t.lastEntryContact = at
	}
}

// Decide reports whether a replica must be promoted now, and why.
func (t *Tracker) Decide(now time.Time) (Reason, bool) {
	primary := t.Primary()
	if primary == "" && t.Designated != "" {
		return ReasonMissing, len(t.Members) > 0
	}
	if primary == "" {
		return t.decideMissing(now)
	}
	t.missingSince = time.Time{}
	if t.Designated != "" && (t.Suspended || t.replicaAnswers >= replicaAnswerLimit) {
		return ReasonNotLeading, true
	}
	if !t.promotedAt.IsZero() && now.Sub(t.promotedAt) < promotionGrace {
		return "", false
	}
	for _, m := range t.Members {
		if m.Server == primary && m.Leaving && t.hasSuccessor() {
			return ReasonLeaving, true
		}
	}
	if t.isSilent(now) {
		return ReasonSilent, true
	}
	return "", false
}

// isSilent reports whether the primary answers nobody. One unanswered probe suffices if entries report failures too: it saves the timeout of a
// second one in each outage under load.
func (t *Tracker) isSilent(now time.Time) bool {
	if now.Sub(t.lastEntryContact) <= maxEntryContactAge {
		return false
	}
	return t.unansweredProbes >= unansweredProbeLimit || t.unansweredProbes > 0 && now.Sub(t.lastEntryFailure) <= maxReportAge
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// decideMissing reports whether a primary must be promoted because no member has announced itself as one for missingTimeout.
func (t *Tracker) decideMissing(now time.Time) (Reason, bool) {
	if len(t.Members) == 0 {
		t.missingSince = time.Time{}
		return "", false
	}
	if t.missingSince.IsZero() {
		t.missingSince = now
	}
	return ReasonMissing, now.Sub(t.missingSince) > missingTimeout
}

// hasSuccessor reports whether a member that is not leaving could replace the primary.
func (t *Tracker) hasSuccessor() bool {
	for _, m := range t.Members {
		if m.Server != t.primary && !m.Leaving {
			return true
		}
	}
	return false
}
