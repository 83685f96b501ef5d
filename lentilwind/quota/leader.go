package quota

import (
	"maps"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Leader holds the buckets of the active workspaces; it must be new for each term and must not begin before the leader of the
// term before has lost its lease.
//
// Its buckets begin with what the former leader has reserved for it, else empty. Grants of the former leader that live on were made
// before the new bucket began, so the sum of both over a window is at most what one bucket gives: the old one's size less the
// reserve and inflow up to the change, then the reserve and inflow.
type Leader struct {
	settings   Settings
	term       uint64
	began      time.Time
	workspaces map[inventory.WorkspaceName]*workspace
	buckets    map[inventory.WorkspaceName]*account
	contacts   contacts
	// refillFrom is the time at which the last floor came back.
	refillFrom time.Time
	configured time.Time
	forgetAt   time.Time
	reserves   reserves
}

// workspace has the limits of a workspace and those that the floor shares of cut-off entries may still rest on.
type workspace struct {
	limits Limits
	floor  Limits
}

// account is the bucket of an active workspace.
type account struct {
	bucket
	lifetime time.Duration
}

// forgetEvery is the time between two looks for inactive workspaces.
const forgetEvery = time.Second

// NewLeader returns the leader of a term that begins now, with the reserves that the journal holds.
func NewLeader(settings Settings, term uint64, held Reserves, now time.Time) *Leader {
	return &Leader{
		settings:   settings,
		term:       term,
		began:      now,
		refillFrom: now,
		workspaces: make(map[inventory.WorkspaceName]*workspace),
		buckets:    make(map[inventory.WorkspaceName]*account),
		contacts:   newContacts(settings.CutOffAfter / 2),
		reserves:   reserves{journalled: held.Tokens, carried: maps.Clone(held.Tokens), carriedUntil: now.Add(carryTime)},
	}
}

// Configure takes in the workspaces and the entries of an inventory.
//
// An instance should leave the inventory only when it has stopped: its floor is not set aside any longer.
func (l *Leader) Configure(workspaces []inventory.Workspace, entries []inventory.InstanceName, now time.Time) {
	l.advance(now)
	if l.configured.IsZero() {
		// Entries learn the time from the leader of the term, so it must not change during one.
		l.settings = l.settings.sized(len(entries))
		l.contacts.within = l.settings.CutOffAfter / 2
	}
	l.configured = now
	l.contacts.list(entries, now)
	old := l.workspaces
	l.workspaces = make(map[inventory.WorkspaceName]*workspace, len(workspaces))
	for _, w := range workspaces {
		limits := Limits{Rate: w.Rate, Burst: w.Burst}
		floor := limits
		if known := old[w.Name]; known != nil {
			floor.Rate = max(floor.Rate, known.floor.Rate)
			floor.Burst = max(floor.Burst, known.floor.Burst)
		}
		l.workspaces[w.Name] = &workspace{limits: limits, floor: floor}
	}
	l.reshapeAll(now)
}

// aheadShare is the part of a bucket that grants ahead of need leave for others and for reserves.
const aheadShare = 0.7

// HandleDraw answers a request; what it grants for need goes first, and what is ahead of need leaves a part of the bucket.
func (l *Leader) HandleDraw(request *protocol.DrawRequest, now time.Time) protocol.DrawReply {
	l.advance(now)
	l.contact(request, now)
	reply := protocol.DrawReply{
		Stamp:  protocol.LeaderStamp{Term: l.term, Time: now.Sub(l.began)},
		Shares: uint32(l.contacts.len()),
		CutOff: l.settings.CutOffAfter,
		Grants: make([]protocol.Grant, 0, len(request.Draws)),
	}
	for _, draw := range request.Draws {
		reply.Grants = append(reply.Grants, l.grant(draw, now))
	}
	return reply
}

func (l *Leader) grant(draw protocol.Draw, now time.Time) protocol.Grant {
	grant := protocol.Grant{Workspace: draw.Workspace}
	w := l.workspaces[draw.Workspace]
	if w == nil {
		return grant
	}
	a := l.account(draw.Workspace, w, now)
	need := min(draw.Need, draw.Want)
	grant.Lifetime = a.lifetime
	grant.Granted = l.take(draw.Workspace, a, need, now)
	if grant.Granted < need {
		grant.RetryAfter = a.until(1)
		return grant
	}
	if spare := a.level - aheadShare*a.depth; spare >= 1 {
		grant.Granted += l.take(draw.Workspace, a, min(draw.Want-need, uint32(spare)), now)
	}
	return grant
}

// account returns a workspace's bucket as it is now.
//
// One that is not kept was full before it was forgotten, or was not used in this term. So it has filled since the term began, with
// all floors set aside until the last one came back.
func (l *Leader) account(name inventory.WorkspaceName, w *workspace, now time.Time) *account {
	a := l.buckets[name]
	if a == nil {
		a = &account{bucket: bucket{settled: l.began}}
		l.reshape(a, w, l.contacts.all(), l.began)
		l.reshape(a, w, l.contacts.aside, l.refillFrom)
		l.buckets[name] = a
	}
	a.settle(now)
	return a
}

// reshape fits a bucket to the limits less the floor shares that are set aside.
func (l *Leader) reshape(a *account, w *workspace, aside float64, now time.Time) {
	floor := l.settings.FloorShare(w.floor, l.contacts.len())
	aside *= float64(l.contacts.len())
	left := Limits{Rate: w.limits.Rate - aside*floor.Rate, Burst: w.limits.Burst - aside*floor.Burst}
	a.lifetime = l.settings.GrantLifetime(w.limits)
	depth, rate := shape(left, a.lifetime)
	a.reshape(depth, max(0, rate), now)
}

// reshapeAll fits every kept bucket; those of workspaces that are gone fill up until they are forgotten.
func (l *Leader) reshapeAll(at time.Time) {
	for name, a := range l.buckets {
		if w := l.workspaces[name]; w != nil {
			l.reshape(a, w, l.contacts.aside, at)
		}
	}
}

// advance sets aside the floors of entries that may be cut off, at the time at which each became due, and forgets what is not
// needed any longer.
func (l *Leader) advance(now time.Time) {
	for _, expiry := range l.contacts.due(now) {
		l.contacts.aside += expiry.fraction
		l.reshapeAll(expiry.at)
	}
	l.mergeCarried(now)
	if now.Before(l.forgetAt) {
		return
	}
	l.forgetAt = now.Add(forgetEvery)
	l.forgetFloors(now)
	for name, a := range l.buckets {
		if a.settle(now); a.level >= a.depth {
			delete(l.buckets, name)
		}
	}
}

// forgetFloors forgets former limits once every entry has been in contact for long enough after the change.
func (l *Leader) forgetFloors(now time.Time) {
	if !l.contacts.complete() || now.Sub(l.configured) < l.settings.CutOffAfter {
		return
	}
	for _, w := range l.workspaces {
		w.floor = w.limits
	}
}

// contact takes in what a request proves about the entry's last contact.
func (l *Leader) contact(request *protocol.DrawRequest, now time.Time) {
	if request.EchoOf.Term != l.term || request.Echo.Term != l.term {
		return
	}
	if l.contacts.prove(request.Entry, l.began.Add(request.EchoOf.Time), now) {
		l.refillFrom = now
		l.reshapeAll(now)
	}
}

// ActiveWorkspaces returns the number of workspaces with a bucket.
func (l *Leader) ActiveWorkspaces() int { return len(l.buckets) }
