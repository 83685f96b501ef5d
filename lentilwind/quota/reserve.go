package quota

import (
	"maps"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Reserves are the tokens that a leader leaves in the buckets for its successor.
//
// The owner of a Leader keeps them in its journal. A reserve binds the leader from the moment at which it is proposed until a later
// proposal without it has been journalled, so whatever a successor finds in the journal is still in the bucket.
type Reserves struct {
	// Term and Serial name the proposal.
	Term   uint64 `cbor:"1,keyasint"`
	Serial uint64 `cbor:"2,keyasint"`
	// Tokens are counted for each workspace that has a reserve.
	Tokens map[inventory.WorkspaceName]float64 `cbor:"3,keyasint,omitempty"`
}

// Sizes and times of reserves.
const (
	// reserveShare is the part of a bucket that is reserved. Together with the floor shares of half of the entries and with what
	// flows in during carryTime it stays below the bucket: 0.35 + 0.5 + 0.5 * 0.25.
	reserveShare = 0.35
	// fullShare is the level from which a reserve is made, as a part of the bucket; grants ahead of need leave more than that.
	fullShare = 0.65
	// lowShare is the level above the reserve below which it is given up, as a part of the bucket: what is left lasts until that
	// is journalled.
	lowShare = 0.15
	// maxAside is the part of the entries that may be cut off while reserves are kept.
	maxAside = 0.5
	// carryTime is how long a successor uses a reserve beside its bucket. Entries that are cut off with the old leader have not
	// filled their floor shares by then.
	carryTime = 250 * time.Millisecond
)

// reserves is the leader's side of its reserves.
type reserves struct {
	// journalled is what the journal holds.
	journalled map[inventory.WorkspaceName]float64
	// proposed is the most that the journal may come to hold, nil when no proposal is open; serial names the last one.
	proposed map[inventory.WorkspaceName]float64
	serial   uint64
	// carried is what is left of the former leader's reserves, until carriedUntil.
	carried      map[inventory.WorkspaceName]float64
	carriedUntil time.Time
}

// bound returns how much of a workspace's tokens must stay.
func (r *reserves) bound(name inventory.WorkspaceName) float64 {
	return max(r.journalled[name], r.proposed[name])
}

// ReservesStored tells the leader what its journal holds now.
func (l *Leader) ReservesStored(held Reserves) {
	l.reserves.journalled = held.Tokens
	if held.Term == l.term && held.Serial == l.reserves.serial {
		l.reserves.proposed = nil
	}
}

// ProposeReserves returns what the journal should hold next, and false if nothing needs to change.
//
// The answer binds the leader at once, and until Journalled has told it of this proposal. It should be asked again only once that has
// ended, since each answer replaces the one before.
func (l *Leader) ProposeReserves(now time.Time) (Reserves, bool) {
	l.advance(now)
	wanted := make(map[inventory.WorkspaceName]float64)
	for name, w := range l.workspaces {
		if tokens := l.wantedReserve(name, w, now); tokens > 0 {
			wanted[name] = tokens
		}
	}
	if l.reserves.proposed == nil && maps.Equal(wanted, l.reserves.journalled) {
		return Reserves{}, false
	}
	most := maps.Clone(wanted)
	for name, tokens := range l.reserves.proposed {
		most[name] = max(most[name], tokens)
	}
	l.reserves.proposed = most
	l.reserves.serial++
	return Reserves{Term: l.term, Serial: l.reserves.serial, Tokens: wanted}, true
}

// wantedReserve returns the reserve that suits a bucket as it is now.
func (l *Leader) wantedReserve(name inventory.WorkspaceName, w *workspace, now time.Time) float64 {
	if l.contacts.aside > maxAside {
		return 0
	}
	a := l.account(name, w, now)
	held := l.reserves.journalled[name]
	share := reserveShare * a.depth
	switch {
	case share < 1:
		return 0
	case held > 0 && held <= a.depth/2 && a.level-held >= lowShare*a.depth:
		return held
	case a.level >= fullShare*a.depth:
		return share
	default:
		return 0
	}
}

// ShouldReleaseReserve tells whether a reserve should be given up without delay, because little is left beside it.
func (l *Leader) ShouldReleaseReserve(name inventory.WorkspaceName) bool {
	a := l.buckets[name]
	held := l.reserves.bound(name)
	return held > 0 && (a == nil || a.level+l.reserves.carried[name]-held < lowShare*a.depth)
}

// take removes tokens of a workspace down to its reserve, first those that a former leader has left.
func (l *Leader) take(name inventory.WorkspaceName, a *account, want uint32, now time.Time) uint32 {
	bound := l.reserves.bound(name)
	taken := uint32(0)
	if carried := l.reserves.carried[name]; now.Before(l.reserves.carriedUntil) && carried > 0 {
		taken = uint32(min(float64(want), carried, max(0, carried+a.level-bound)))
		l.reserves.carried[name] = carried - float64(taken)
		bound = max(0, bound-l.reserves.carried[name])
	}
	return taken + a.take(want-taken, bound)
}

// mergeCarried puts what is left of the former leader's reserves into the buckets once their time is over.
func (l *Leader) mergeCarried(now time.Time) {
	if len(l.reserves.carried) == 0 || now.Before(l.reserves.carriedUntil) {
		return
	}
	carried := l.reserves.carried
	l.reserves.carried = nil
	for name, tokens := range carried {
		if w := l.workspaces[name]; w != nil {
			a := l.account(name, w, now)
			a.level = min(a.depth, a.level+tokens)
		}
	}
}
