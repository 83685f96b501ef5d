package quota

import (
	"maps"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Reserves holds the tokens that a leader leaves in its buckets for its successor.
//
// The owner of the Leader keeps them in its journal. A reserve binds the leader from the moment at which it is proposed until
// a later proposal without it has been journalled, so every reserve that a successor finds in the journal is still in the
// bucket.
type Reserves struct {
	// Term and Serial identify the proposal.
	Term   uint64 `cbor:"1,keyasint"`
	Serial uint64 `cbor:"2,keyasint"`
	// Tokens maps each workspace with a reserve to its number of tokens.
	Tokens map[inventory.WorkspaceName]float64 `cbor:"3,keyasint,omitempty"`
}

// Sizes, as fractions of a bucket's capacity, and times of reserves.
const (
	// reserveFraction is the size of a reserve. Together with the floor shares of half of the entries and the tokens that are
	// refilled during inheritedLifetime it stays below the capacity: 0.35 + 0.5 + 0.5 * 0.25.
	reserveFraction = 0.35
	// reserveMinLevel is the level from which a reserve is made. Prefetched grants leave more than that in the bucket.
	reserveMinLevel = 0.65
	// releaseMargin is the level above the reserve below which the reserve is given up. The tokens above it must last until
	// the release is journalled.
	releaseMargin = 0.15
	// maxSetAside is the fraction of the entries that may be cut off while reserves are kept.
	maxSetAside = 0.5
	// inheritedLifetime is how long a successor uses an inherited reserve in addition to its bucket. Entries that are cut off
	// together with the old leader have not filled their floor shares by then.
	inheritedLifetime = 250 * time.Millisecond
)

// reserveState is the leader's bookkeeping of reserves.
type reserveState struct {
	// stored is what the journal holds.
	stored map[inventory.WorkspaceName]float64
	// proposed holds, per workspace, the largest reserve that a proposal under way may store; nil when no proposal is under
	// way. serial is the number of the last proposal.
	proposed map[inventory.WorkspaceName]float64
	serial   uint64
	// inherited is what is left of the former leader's reserves; it ends at inheritedUntil.
	inherited      map[inventory.WorkspaceName]float64
	inheritedUntil time.Time
}

// required returns how many tokens of a workspace must stay in the bucket.
func (r *reserveState) required(name inventory.WorkspaceName) float64 {
	return max(r.stored[name], r.proposed[name])
}

// ReservesStored tells the leader which reserves its journal holds now.
func (l *Leader) ReservesStored(stored Reserves) {
	l.reserves.stored = stored.Tokens
	if stored.Term == l.term && stored.Serial == l.reserves.serial {
		l.reserves.proposed = nil
	}
}

// ProposeReserves returns the reserves that the journal should hold next, and false if nothing needs to change.
//
// The proposal binds the leader from now on, until ReservesStored has reported it or a later one. Call ProposeReserves again
// only when the attempt to journal the last proposal has ended, since each proposal replaces the one before.
func (l *Leader) ProposeReserves(now time.Time) (Reserves, bool) {
	l.advance(now)
	targets := make(map[inventory.WorkspaceName]float64)
	for name, w := range l.workspaces {
		if tokens := l.targetReserve(name, w, now); tokens > 0 {
			targets[name] = tokens
		}
	}
	if l.reserves.proposed == nil && maps.Equal(targets, l.reserves.stored) {
		return Reserves{}, false
	}
	upperBound := maps.Clone(targets)
	for name, tokens := range l.reserves.proposed {
		upperBound[name] = max(upperBound[name], tokens)
	}
	l.reserves.proposed = upperBound
	l.reserves.serial++
	return Reserves{Term: l.term, Serial: l.reserves.serial, Tokens: targets}, true
}

// targetReserve returns the reserve for a bucket at its present level.
func (l *Leader) targetReserve(name inventory.WorkspaceName, w *workspace, now time.Time) float64 {
	if l.contacts.setAside > maxSetAside {
		return 0
	}
	bucket := l.bucket(name, w, now)
	stored := l.reserves.stored[name]
	amount := reserveFraction * bucket.capacity
	switch {
	case amount < 1:
		return 0
	case stored > 0 && stored <= bucket.capacity/2 && bucket.level-stored >= releaseMargin*bucket.capacity:
		return stored
	case bucket.level >= reserveMinLevel*bucket.capacity:
		return amount
	default:
		return 0
	}
}

// ShouldReleaseReserve reports whether a reserve should be given up at once because few tokens are left above it.
func (l *Leader) ShouldReleaseReserve(name inventory.WorkspaceName) bool {
	bucket := l.buckets[name]
	required := l.reserves.required(name)
	return required > 0 && (bucket == nil || bucket.level+l.reserves.inherited[name]-required < releaseMargin*bucket.capacity)
}

// take removes tokens of a workspace down to its reserve and what is kept for more urgent requests, tokens inherited from the former leader
// first.
func (l *Leader) take(name inventory.WorkspaceName, bucket *activeBucket, want uint32, keep float64, now time.Time) uint32 {
	required := l.reserves.required(name) + keep
	taken := uint32(0)
	if inherited := l.reserves.inherited[name]; now.Before(l.reserves.inheritedUntil) && inherited > 0 {
		taken = uint32(min(float64(want), inherited, max(0, inherited+bucket.level-required)))
		l.reserves.inherited[name] = inherited - float64(taken)
		required = max(0, required-l.reserves.inherited[name])
	}
	return taken + bucket.take(want-taken, required)
}

// mergeInherited moves the rest of the inherited reserves into the buckets once inheritedUntil has passed.
func (l *Leader) mergeInherited(now time.Time) {
	if len(l.reserves.inherited) == 0 || now.Before(l.reserves.inheritedUntil) {
		return
	}
	inherited := l.reserves.inherited
	l.reserves.inherited = nil
	for name, tokens := range inherited {
		if w := l.workspaces[name]; w != nil {
			bucket := l.bucket(name, w, now)
			bucket.level = min(bucket.capacity, bucket.level+tokens)
		}
	}
}
