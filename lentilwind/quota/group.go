package quota

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Times of group shares.
const (
	// groupLease is how long an entry leaves its floor shares to the keeper of its data centre.
	groupLease = 400 * time.Millisecond
	// groupRenewal is the time between two requests to the keeper while there is nothing to draw.
	groupRenewal = 100 * time.Millisecond
	// groupGrantLifetime is how long a keeper's grant may be used, counted from the sending of the request.
	groupGrantLifetime = 60 * time.Millisecond
)

// GroupKeeper grants tokens from the floor shares that cut-off entries of one data centre have left to this entry.
//
// It answers a data centre that is cut off in a large fleet: the share of a single entry is less than one request, so that without a keeper
// every request is refused, although the data centre as a whole is owed a sixth of the quota. Each share is used by one process at a time,
// so the sum over the fleet stays exact. A GroupKeeper is not safe for concurrent use.
type GroupKeeper struct {
	settings  Settings
	run       uint64
	startedAt time.Time
	lent      map[inventory.InstanceName]*lentShares
	// releasedAt is when each entry last took its shares back. A request that was sent before must not lend them again.
	releasedAt map[inventory.InstanceName]time.Duration
}

// lentShares are the floor shares of one entry.
type lentShares struct {
	since, until time.Time
	entryCount   int
	buckets      map[inventory.WorkspaceName]*tokenBucket
}

// NewGroupKeeper returns a keeper without shares; run distinguishes the runs of one process.
func NewGroupKeeper(settings Settings, run uint64, now time.Time) *GroupKeeper {
	return &GroupKeeper{
		settings: settings, run: run, startedAt: now,
		lent: make(map[inventory.InstanceName]*lentShares), releasedAt: make(map[inventory.InstanceName]time.Duration),
	}
}

// HandleDraw answers a request of an entry. Limits returns the limits of a workspace.
//
// The lease of the shares counts from the time at which the keeper made the echoed stamp, which is before the entry sent the request.
func (k *GroupKeeper) HandleDraw(request *protocol.GroupDrawRequest, limits func(inventory.WorkspaceName) (Limits, bool), now time.Time) protocol.GroupDrawReply {
	reply := protocol.GroupDrawReply{Stamp: protocol.KeeperStamp{Run: k.run, Time: now.Sub(k.startedAt)}}
	reply.Grants = make([]protocol.Grant, len(request.Draws))
	for i, d := range request.Draws {
		reply.Grants[i].Workspace = d.Workspace
	}
	if request.Echo.Run != k.run {
		return reply
	}
	if request.Release {
		delete(k.lent, request.Entry)
		k.releasedAt[request.Entry] = now.Sub(k.startedAt)
		reply.Released = true
		return reply
	}
	k.renew(request, now)
	for i, d := range request.Draws {
		if l, found := limits(d.Workspace); found {
			reply.Grants[i].Granted = k.take(d.Workspace, l, d.Need, now)
		}
	}
	return reply
}

// renew extends the lease of an entry's shares.
func (k *GroupKeeper) renew(request *protocol.GroupDrawRequest, now time.Time) {
	until := k.startedAt.Add(request.Echo.Time + shorten(groupLease))
	until = until.Add(-lengthen(groupGrantLifetime))
	shares := k.lent[request.Entry]
	if !now.Before(until) || request.EntryCount == 0 || request.Echo.Time < k.releasedAt[request.Entry] {
		return
	}
	if shares == nil || !now.Before(shares.until) || shares.entryCount != int(request.EntryCount) {
		shares = &lentShares{since: now, entryCount: int(request.EntryCount), buckets: make(map[inventory.WorkspaceName]*tokenBucket)}
		k.lent[request.Entry] = shares
	}
	if until.After(shares.until) {
		shares.until = until
	}
}

// take removes up to the wanted number of tokens from the shares of all entries together.
func (k *GroupKeeper) take(workspace inventory.WorkspaceName, l Limits, want uint32, now time.Time) uint32 {
	var buckets []*tokenBucket
	total := 0.0
	for entry, shares := range k.lent {
		if !now.Before(shares.until) {
			delete(k.lent, entry)
			continue
		}
		bucket := shares.bucket(workspace, k.settings.rawShare(l, shares.entryCount), now)
		total += bucket.level
		buckets = append(buckets, bucket)
	}
	taken := min(want, uint32(total))
	if taken == 0 {
		return 0
	}
	used := float64(taken) / total
	for _, bucket := range buckets {
		bucket.level -= used * bucket.level
	}
	return taken
}

// bucket returns the bucket of one workspace's share, which was empty when the entry lent it.
func (s *lentShares) bucket(workspace inventory.WorkspaceName, share Limits, now time.Time) *tokenBucket {
	rate := share.Rate * (1 - MaxClockDrift)
	bucket := s.buckets[workspace]
	if bucket == nil {
		bucket = &tokenBucket{capacity: share.Burst, rate: rate, refilledAt: s.since}
		s.buckets[workspace] = bucket
	}
	bucket.resize(share.Burst, rate, now)
	return bucket
}

// Entries returns the number of entries whose shares the keeper holds.
func (k *GroupKeeper) Entries() int { return len(k.lent) }

// groupMember is an entry's side of the group shares.
type groupMember struct {
	echo protocol.KeeperStamp
	// lentUntil is the time until which a keeper may use the shares of this entry, which must neither use them nor prove its contact to the
	// leader before.
	lentUntil time.Time
	// lentAt is when the shares were last lent, and releasedAt when the keeper gave them back.
	lentAt, releasedAt time.Time
	nextDraw           time.Time
}

// PendingGroupDraw is a request to the keeper that has not been answered yet.
type PendingGroupDraw[V any] struct {
	Request protocol.GroupDrawRequest

	sentAt  time.Time
	waiters []*WorkspaceLimiter[V]
}

// NextGroupDraw returns the next request to the keeper, or nil if the entry is not cut off or nothing is due.
func (e *Entry[V]) NextGroupDraw(now time.Time) *PendingGroupDraw[V] {
	if !e.settings.GroupShares || e.entryCount == 0 || !e.CutOff(now) && !e.Lent(now) {
		return nil
	}
	if !e.CutOff(now) {
		return e.nextRelease(now)
	}
	pending := &PendingGroupDraw[V]{sentAt: now, Request: protocol.GroupDrawRequest{Entry: e.name, EntryCount: uint32(e.entryCount), Echo: e.group.echo}}
	for name, limiter := range e.limiters {
		if len(limiter.waiting) > 0 {
			pending.Request.Draws = append(pending.Request.Draws, protocol.Draw{Workspace: name, Need: uint32(len(limiter.waiting))})
			pending.waiters = append(pending.waiters, limiter)
		}
	}
	if len(pending.Request.Draws) == 0 && now.Before(e.group.nextDraw) {
		return nil
	}
	e.group.nextDraw = now.Add(groupRenewal)
	if e.group.echo.Run != 0 {
		e.group.lentAt, e.group.lentUntil = now, now.Add(lengthen(groupLease))
	}
	return pending
}

// nextRelease returns the request that takes the shares back. The leader grants little until it has the proofs of contact that are held back
// while they are lent.
func (e *Entry[V]) nextRelease(now time.Time) *PendingGroupDraw[V] {
	if e.group.releasedAt.After(e.group.lentAt) || e.group.echo.Run == 0 {
		return nil
	}
	request := protocol.GroupDrawRequest{Entry: e.name, EntryCount: uint32(e.entryCount), Echo: e.group.echo, Release: true}
	return &PendingGroupDraw[V]{sentAt: now, Request: request}
}

// HandleGroupReply applies the keeper's reply and returns the results of the requests that it admits.
func (e *Entry[V]) HandleGroupReply(pending *PendingGroupDraw[V], reply *protocol.GroupDrawReply, now time.Time) []Result[V] {
	if reply.Stamp.Run != e.group.echo.Run {
		e.group.nextDraw = now
	}
	e.group.echo = reply.Stamp
	if reply.Released && pending.sentAt.After(e.group.lentAt) {
		// Grants that the keeper made before may still be on their way to other entries.
		e.group.releasedAt, e.group.lentUntil = now, now.Add(lengthen(groupGrantLifetime))
	}
	if len(reply.Grants) != len(pending.waiters) || now.Sub(pending.sentAt) > shorten(groupGrantLifetime) {
		return nil
	}
	var results []Result[V]
	for i, grant := range reply.Grants {
		limiter := pending.waiters[i]
		served := min(int(grant.Granted), len(limiter.waiting))
		for _, waiter := range limiter.waiting[:served] {
			results = append(results, Result[V]{Value: waiter.Value, Admitted: true})
		}
		limiter.waiting = append(limiter.waiting[:0], limiter.waiting[served:]...)
	}
	return results
}

// LeaveKeeper forgets the keeper, which does not answer. Another one gets the shares when the lease has ended.
func (e *Entry[V]) LeaveKeeper() { e.group.echo = protocol.KeeperStamp{} }

// Lent reports whether a keeper may be using the shares of this entry.
func (e *Entry[V]) Lent(now time.Time) bool { return now.Before(e.group.lentUntil) }

// shorten returns a duration that has not passed on another clock before d has on this one.
func shorten(d time.Duration) time.Duration { return time.Duration((1 - MaxClockDrift) * float64(d)) }

// lengthen returns a duration in which d has certainly passed on another clock.
func lengthen(d time.Duration) time.Duration { return time.Duration((1 + MaxClockDrift) * float64(d)) }
