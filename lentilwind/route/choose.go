package route

import (
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// Distance orders servers by how far they stand from the entry.
type Distance uint8

// The distances.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Member is what an entry knows of one member of a group.
type Member struct {
	Server group.Server
	// Usable members get new work: announced lately and not leaving.
	Usable   bool
	Distance Distance
	// ExpectedWait is the expected wait for a connection to the member.
	ExpectedWait time.Duration
	// JointFailures is the number of other members that have failed together with this one.
	JointFailures int
	// Sample is the newest known status; its Start is zero while there is none.
	Sample confirm.StatusSample
}

// View is what an entry knows of a group at one moment; it is filled anew for each choice.
type View struct {
	Term    group.Term
	Primary group.Server
	// TermConfirmedAt is the newest time at which the term is known to have been the newest one.
	TermConfirmedAt time.Time
	Members         []Member

	// options is the memory of a choice.
	options Options
}

// Request is what the choice for a read depends on.
type Request struct {
	// MaxStaleness of 0 asks for the newest state.
	MaxStaleness time.Duration
	// Floor must be known; it is zero for a session that was never shown anything of the group.
	Floor group.Floor
	// Waited is how long the request has waited for a replica already.
	Waited time.Duration
}

// Decision tells what kind of member was chosen.
type Decision string

// The places of a choice.
const (
	// Replica means to read on the named replica before Until.
	Replica Decision = "replica"
	// Primary means to read on the named primary; the answer needs a check of the term unless it comes before Until.
	Primary Decision = "primary"
	// Wait means to choose again at Until or when a status has changed.
	Wait Decision = "wait"
	// Unavailable means that no member may serve the read.
	Unavailable Decision = "nowhere"
)

// Choice is where a read runs.
type Choice struct {
	Decision Decision
	Server   group.Server
	// Until is the end of the choice: an answer that begins later may be staler than the request allows.
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
		options.addLagging(lag(view, m, request, now))
	}
	return policy.decide(options, now)
}

// FreshAt returns the time of the newest primary state that a read on the member is known to show all of.
//
// A poll sent at view.Current found no newer term, so every write acknowledged before was in this term or an older one. The
// member shows what its primary had at its own sample's start less its age.
func (v *View) FreshAt(m *Member) time.Time {
	if m.Sample.SentAt.IsZero() || m.Sample.Status.Term != v.Term || v.TermConfirmedAt.IsZero() {
		return time.Time{}
	}
	shown := m.Sample.SentAt.Add(-m.Sample.Status.Lag)
	if v.TermConfirmedAt.Before(shown) {
		return v.TermConfirmedAt
	}
	return shown
}

// replicaOption returns the member with the time until which it may serve the request; a zero time if it may not at all.
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

// primaryOption returns the primary with the time until which its answers need no check of the term.
func primaryOption(view *View, m *Member, request *Request) Option {
	option := Option{Member: m}
	if request.MaxStaleness > 0 && !view.TermConfirmedAt.IsZero() && request.Floor.Term <= view.Term {
		option.Until = view.TermConfirmedAt.Add(request.MaxStaleness)
	}
	return option
}

// lag estimates how long a replica takes to reach the request's floor and staleness; false if it cannot be told.
func lag(view *View, m *Member, request *Request, now time.Time) (time.Duration, bool) {
	if request.MaxStaleness <= 0 || m.Sample.Status.Term != view.Term {
		return 0, false
	}
	if m.Sample.Status.Lag > request.MaxStaleness {
		return 0, false
	}
	return max(0, m.Sample.SentAt.Add(m.Sample.Status.Lag).Sub(now)), true
}
