package route

import (
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// Distance classifies servers by their network distance from the entry.
type Distance uint8

// Distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Member is an entry's view of one member of a group.
type Member struct {
	Server group.Server
	// Usable is true for a member that has announced itself recently and is not leaving; only usable members get new work.
	Usable   bool
	Distance Distance
	// ExpectedWait is the expected time to get a connection to the member.
	ExpectedWait time.Duration
	// JointFailures is the number of other members that have failed at the same time as this one.
	JointFailures int
	// Sample is the newest known status; its SentAt is zero while there is none.
	Sample confirm.StatusSample
}

// View is an entry's view of a group at one moment; it is filled anew for each choice.
type View struct {
	Term    group.Term
	Primary group.Server
	// TermConfirmedAt is the latest time at which Term is known to have been the newest term.
	TermConfirmedAt time.Time
	Members         []Member

	// options is kept in the view so that Choose does not allocate.
	options Options
}

// Request holds the properties of a read that determine where it may run.
type Request struct {
	// MaxStaleness is the greatest allowed age of the data; 0 requires the newest state.
	MaxStaleness time.Duration
	// Floor is the minimum state that the read must observe. It must be known; it is zero for a session that has not yet observed
	// any state of the group.
	Floor group.Floor
	// Waited is how long the request has already waited for a replica.
	Waited time.Duration
}

// Decision is the kind of a choice.
type Decision string

// Decisions.
const (
	// Replica means that the read runs on the named replica, before Until.
	Replica Decision = "replica"
	// Primary means that the read runs on the named primary. An answer that does not begin before Until requires a check of the
	// term.
	Primary Decision = "primary"
	// Wait means that the caller chooses again at Until or after a status has changed.
	Wait Decision = "wait"
	// Unavailable means that no member can serve the read.
	Unavailable Decision = "nowhere"
)

// Choice is where a read runs.
type Choice struct {
	Decision Decision
	Server   group.Server
	// Until is the end of the choice's validity: an answer that begins later may be staler than the request allows.
	Until time.Time
}

// Choose decides where a read runs.
func Choose[P Policy](policy P, view *View, request *Request, now time.Time) Choice {
	view.options = Options{Waited: request.Waited}
	options := &view.options
	for i := range view.Members {
		m := &view.Members[i]
		if m.Server == view.Primary {
			options.Primary = primaryOption(view, m, request)
			continue
		}
		if !m.Usable || m.Sample.SentAt.IsZero() {
			continue
		}
		option := replicaOption(view, m, request)
		if option.Until.After(now) {
			options.addReplica(option)
			continue
		}
		options.addLagging(catchUpTime(view, m, request, now))
	}
	return policy.decide(options, now)
}

// FreshAt returns the latest time such that a read on the member observes every write acknowledged before it; a zero time if
// there is none.
//
// A poll sent at TermConfirmedAt found no newer term, so every write acknowledged before that time was in this term or an older
// one. The member has applied what its primary had at the time at which the sample was requested, less the replication lag.
func (v *View) FreshAt(m *Member) time.Time {
	if m.Sample.SentAt.IsZero() || m.Sample.Status.Term != v.Term || v.TermConfirmedAt.IsZero() {
		return time.Time{}
	}
	appliedUpTo := m.Sample.SentAt.Add(-m.Sample.Status.Lag)
	if v.TermConfirmedAt.Before(appliedUpTo) {
		return v.TermConfirmedAt
	}
	return appliedUpTo
}

// replicaOption returns the member with the time until which it may serve the request; a zero time if it may not serve it.
func replicaOption(view *View, m *Member, request *Request) Option {
	option := Option{Member: m}
	if request.MaxStaleness <= 0 || !request.Floor.SatisfiedBy(m.Sample.Status) {
		return option
	}
	if fresh := view.FreshAt(m); !fresh.IsZero() {
		option.Until = fresh.Add(request.MaxStaleness)
	}
	return option
}

// primaryOption returns the primary with the time until which its answers require no check of the term.
func primaryOption(view *View, m *Member, request *Request) Option {
	option := Option{Member: m}
	if request.MaxStaleness > 0 && !view.TermConfirmedAt.IsZero() && request.Floor.Term <= view.Term {
		option.Until = view.TermConfirmedAt.Add(request.MaxStaleness)
	}
	return option
}

// catchUpTime estimates how long a replica takes to satisfy the request's floor and staleness; false if it cannot be estimated.
func catchUpTime(view *View, m *Member, request *Request, now time.Time) (time.Duration, bool) {
	if request.MaxStaleness <= 0 || m.Sample.Status.Term != view.Term {
		return 0, false
	}
	if m.Sample.Status.Lag > request.MaxStaleness {
		return 0, false
	}
	return max(0, m.Sample.SentAt.Add(m.Sample.Status.Lag).Sub(now)), true
}
