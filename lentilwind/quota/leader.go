package quota

import (
	"maps"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Leader holds the token buckets of the active workspaces. Each term needs a new Leader, which must not start before the
// leader of the previous term has lost its lease.
//
// Its buckets start with what the former leader has reserved for it, otherwise empty. Grants of the former leader that are
// still valid were made before the new bucket started, so over any window both together grant at most what one bucket does:
// the old bucket's capacity less the reserve plus the refill up to the change, then the reserve plus the refill.
type Leader struct {
	settings   Settings
	term       uint64
	startedAt  time.Time
	workspaces map[inventory.WorkspaceName]*workspace
	buckets    map[inventory.WorkspaceName]*activeBucket
	contacts   contactTracker
	// refillFrom is the time at which an entry's floor share was last released.
	refillFrom   time.Time
	configuredAt time.Time
	nextCleanup  time.Time
	reserves     reserveState
}

// workspace holds the limits of a workspace, and the larger former limits from which cut-off entries may still derive their
// floor shares.
type workspace struct {
	limits      Limits
	floorLimits Limits
}

// activeBucket is the bucket of an active workspace.
type activeBucket struct {
	tokenBucket
	lifetime time.Duration
	needs    classNeeds
}

// cleanupInterval is the time between two scans for inactive workspaces.
const cleanupInterval = time.Second

// NewLeader returns the leader of a term that starts now, with the reserves that the journal holds.
func NewLeader(settings Settings, term uint64, stored Reserves, now time.Time) *Leader {
	return &Leader{
		settings:   settings,
		term:       term,
		startedAt:  now,
		refillFrom: now,
		workspaces: make(map[inventory.WorkspaceName]*workspace),
		buckets:    make(map[inventory.WorkspaceName]*activeBucket),
		contacts:   newContactTracker(settings.CutOffAfter / 2),
		reserves:   reserveState{stored: stored.Tokens, inherited: maps.Clone(stored.Tokens), inheritedUntil: now.Add(inheritedLifetime)},
	}
}

// Configure replaces the workspaces and the entries by those of an inventory.
//
// An instance should be removed from the inventory only after it has stopped, because its floor share is no longer set aside
// then.
func (l *Leader) Configure(workspaces []inventory.Workspace, entries []inventory.InstanceName, now time.Time) {
	l.advance(now)
	if l.configuredAt.IsZero() {
		// Entries learn CutOffAfter from the leader of the term, so it must not change during the term.
		l.settings = l.settings.forEntries(len(entries))
		l.contacts.timeout = l.settings.CutOffAfter / 2
	}
	l.configuredAt = now
	l.contacts.setEntries(entries, now)
	old := l.workspaces
	l.workspaces = make(map[inventory.WorkspaceName]*workspace, len(workspaces))
	for _, w := range workspaces {
		limits := Limits{Rate: w.Rate, Burst: w.Burst}
		floor := limits
		if known := old[w.Name]; known != nil {
			floor.Rate = max(floor.Rate, known.floorLimits.Rate)
			floor.Burst = max(floor.Burst, known.floorLimits.Burst)
		}
		l.workspaces[w.Name] = &workspace{limits: limits, floorLimits: floor}
	}
	l.resizeAll(now)
}

// prefetchMinLevel is the level below which nothing is granted beyond immediate need, as a fraction of the capacity. The rest
// is for the needs of others and for reserves.
const prefetchMinLevel = 0.7

// HandleDraw answers a request. Immediate need is granted first; prefetching leaves prefetchMinLevel of the bucket.
func (l *Leader) HandleDraw(request *protocol.DrawRequest, now time.Time) protocol.DrawReply {
	l.advance(now)
	l.recordContact(request, now)
	reply := protocol.DrawReply{
		Stamp:  protocol.LeaderStamp{Term: l.term, Time: now.Sub(l.startedAt)},
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
	bucket := l.bucket(draw.Workspace, w, now)
	need := min(draw.Need, draw.Want)
	grant.Lifetime = bucket.lifetime
	grant.Granted = l.takeByClass(draw, bucket, need, now)
	if grant.Granted < need {
		grant.RetryAfter = bucket.timeUntil(1)
		return grant
	}
	if spare := bucket.level - prefetchMinLevel*bucket.capacity; spare >= 1 {
		grant.Granted += l.take(draw.Workspace, bucket, min(draw.Want-need, uint32(spare)), 0, now)
	}
	return grant
}

// takeByClass takes tokens for the needs of a draw, those of the most urgent class first.
func (l *Leader) takeByClass(draw protocol.Draw, bucket *activeBucket, need uint32, now time.Time) uint32 {
	if len(draw.Classes) == 0 {
		if need > 0 {
			bucket.needs[0] = now
		}
		return l.take(draw.Workspace, bucket, need, 0, now)
	}
	granted := uint32(0)
	for class, n := range draw.Classes {
		n = min(n, need-granted)
		if n == 0 {
			continue
		}
		if class < len(bucket.needs) {
			bucket.needs[class] = now
		}
		granted += l.take(draw.Workspace, bucket, n, bucket.needs.keep(class, bucket.capacity, now), now)
	}
	return granted
}

// bucket returns a workspace's bucket at its present level.
//
// A bucket that is not kept was either full when it was removed or not used in this term. So it is recreated as refilling
// since the term started, with all floor shares set aside until refillFrom.
func (l *Leader) bucket(name inventory.WorkspaceName, w *workspace, now time.Time) *activeBucket {
	bucket := l.buckets[name]
	if bucket == nil {
		bucket = &activeBucket{tokenBucket: tokenBucket{refilledAt: l.startedAt}}
		l.resize(bucket, w, l.contacts.total(), l.startedAt)
		l.resize(bucket, w, l.contacts.setAside, l.refillFrom)
		l.buckets[name] = bucket
	}
	bucket.refill(now)
	return bucket
}

// resize sets a bucket's size from the limits less the floor shares that are set aside.
func (l *Leader) resize(bucket *activeBucket, w *workspace, setAside float64, now time.Time) {
	floor := l.settings.setAsideShare(w.floorLimits, l.contacts.len())
	setAside *= float64(l.contacts.len())
	left := Limits{Rate: w.limits.Rate - setAside*floor.Rate, Burst: w.limits.Burst - setAside*floor.Burst}
	bucket.lifetime = l.settings.GrantLifetime(w.limits)
	capacity, rate := bucketSize(left, bucket.lifetime)
	bucket.resize(capacity, max(0, rate), now)
}

// resizeAll resizes every kept bucket. Those of workspaces that are no longer configured refill until they are removed.
func (l *Leader) resizeAll(at time.Time) {
	for name, bucket := range l.buckets {
		if w := l.workspaces[name]; w != nil {
			l.resize(bucket, w, l.contacts.setAside, at)
		}
	}
}

// advance sets aside the floor shares of entries that may be cut off, each as of the time at which it was due, and removes
// what is no longer needed.
func (l *Leader) advance(now time.Time) {
	for _, expiry := range l.contacts.expire(now) {
		l.contacts.setAside += expiry.fraction
		l.resizeAll(expiry.at)
	}
	l.mergeInherited(now)
	if now.Before(l.nextCleanup) {
		return
	}
	l.nextCleanup = now.Add(cleanupInterval)
	l.dropFormerLimits(now)
	for name, bucket := range l.buckets {
		if bucket.refill(now); bucket.level >= bucket.capacity {
			delete(l.buckets, name)
		}
	}
}

// dropFormerLimits drops former limits once every entry has been in contact for long enough after the change.
func (l *Leader) dropFormerLimits(now time.Time) {
	if !l.contacts.allProven() || now.Sub(l.configuredAt) < l.settings.CutOffAfter {
		return
	}
	for _, w := range l.workspaces {
		w.floorLimits = w.limits
	}
}

// recordContact records what the stamps of a request prove about the entry's last contact.
func (l *Leader) recordContact(request *protocol.DrawRequest, now time.Time) {
	if request.EchoOf.Term != l.term || request.Echo.Term != l.term {
		return
	}
	if l.contacts.recordProof(request.Entry, l.startedAt.Add(request.EchoOf.Time), now) {
		l.refillFrom = now
		l.resizeAll(now)
	}
}

// ActiveWorkspaces returns the number of workspaces with a bucket.
func (l *Leader) ActiveWorkspaces() int { return len(l.buckets) }
