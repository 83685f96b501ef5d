package quota

import (
	"math"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Entry is an entry's side of the quota. Only WorkspaceLimiter.Admit may be called without the lock of the Entry's owner.
type Entry[V any] struct {
	settings Settings
	name     inventory.InstanceName
	limiters map[inventory.WorkspaceName]*WorkspaceLimiter[V]
	// lastContact is when the last answered request was sent.
	lastContact time.Time
	lastDraw    time.Time
	echo        protocol.LeaderStamp
	echoOf      protocol.LeaderStamp
	// entryCount is the number of entries that share the floor; 0 before the first contact.
	entryCount int
	// termReplies counts the replies of the present term, the first of which came at termSeenAt.
	termReplies int
	termSeenAt  time.Time
	group       groupMember
}

// PendingDraw is a request to the leader that has not been answered yet.
type PendingDraw[V any] struct {
	Request protocol.DrawRequest

	sentAt  time.Time
	waiters [][]*Waiter[V]
}

// Result is the outcome of a waiting request.
type Result[V any] struct {
	Value    V
	Admitted bool
}

// Decision is the outcome of a request that Admit found no token for.
type Decision string

// Decisions.
const (
	Admitted Decision = "admitted"
	Refused  Decision = "refused"
	// Waiting means that the outcome depends on the leader's answer.
	Waiting Decision = "waiting"
)

// Limits of an entry.
const (
	// maxWaiters bounds the waiting requests of one workspace.
	maxWaiters = 1024
	// minAnsweredDraws is the number of draws that the leader must have answered before a request is refused.
	minAnsweredDraws = 2
	// minProofReplies is the number of replies of a leader after which the entry's requests prove its contact. Until then it
	// draws without a pause.
	minProofReplies = 3
	// minRetryInterval is the least time between two draws for a workspace that has no tokens left.
	minRetryInterval = 10 * time.Millisecond
)

// NewEntry returns an entry without contact. It has no floor share before its first contact, because it does not know among
// how many entries the floor is divided.
func NewEntry[V any](settings Settings, name inventory.InstanceName, now time.Time) *Entry[V] {
	return &Entry[V]{
		settings:    settings,
		name:        name,
		limiters:    make(map[inventory.WorkspaceName]*WorkspaceLimiter[V]),
		lastContact: now,
	}
}

// Limiter returns the limiter of a workspace with its present limits.
func (e *Entry[V]) Limiter(workspace inventory.WorkspaceName, limits Limits, now time.Time) *WorkspaceLimiter[V] {
	limiter := e.limiters[workspace]
	if limiter == nil {
		limiter = &WorkspaceLimiter[V]{workspace: workspace, tokens: GrantedTokens{origin: now}, forecast: forecast{at: now}, lastActive: now}
		e.limiters[workspace] = limiter
	}
	limiter.limits = limits
	limiter.lifetime = e.settings.GrantLifetime(limits)
	return limiter
}

// Enqueue decides on a request that Admit found no token for. The result of a waiting request is returned by HandleReply or
// Expire. Tokens go to the most urgent class first.
func (e *Entry[V]) Enqueue(limiter *WorkspaceLimiter[V], value V, request Request, now time.Time) (Decision, *Waiter[V]) {
	limiter = e.registered(limiter)
	if e.CutOff(now) {
		if len(limiter.waiting) == 0 && e.takeFromFloorShare(limiter, now) {
			return Admitted, nil
		}
		if !e.usesGroup(limiter) && e.leaderUnreachable(now) && float64(len(limiter.waiting)) >= e.settings.FloorShare(limiter.limits, e.entryCount).Rate*e.settings.maxWait().Seconds() {
			return Refused, nil
		}
	}
	if len(limiter.waiting) >= maxWaiters {
		return Refused, nil
	}
	request.Class = min(max(request.Class, 0), MaxClass)
	if request.Patience > 0 && limiter.shortage.lasts(now) && limiter.ahead(request.Class) >= maxWaiting(limiter.limits, e.entryCount, request.Patience) {
		return Refused, nil
	}
	waiter := &Waiter[V]{Value: value, request: request, enqueuedAt: now}
	limiter.enqueue(waiter)
	return Waiting, waiter
}

// registered returns the registered limiter of the same workspace, after registering the given one again if it was removed as
// idle.
func (e *Entry[V]) registered(limiter *WorkspaceLimiter[V]) *WorkspaceLimiter[V] {
	if known := e.limiters[limiter.workspace]; known != nil {
		return known
	}
	e.limiters[limiter.workspace] = limiter
	return limiter
}

// Cancel removes a request that is still waiting.
func (e *Entry[V]) Cancel(limiter *WorkspaceLimiter[V], waiter *Waiter[V]) {
	limiter = e.registered(limiter)
	for i, other := range limiter.waiting {
		if other == waiter {
			limiter.waiting = append(limiter.waiting[:i], limiter.waiting[i+1:]...)
			return
		}
	}
}

// CutOff reports whether the entry has been without contact for so long that it uses its floor share.
func (e *Entry[V]) CutOff(now time.Time) bool { return now.Sub(e.lastContact) > e.settings.CutOffAfter }

// leaderUnreachable reports whether the entry has been cut off for so long that no answer is expected soon.
func (e *Entry[V]) leaderUnreachable(now time.Time) bool {
	return now.Sub(e.lastContact) > e.settings.CutOffAfter+maxLeaderSilence
}

// usesGroup reports whether the share of a workspace is so small that only the keeper of the data centre can use it.
func (e *Entry[V]) usesGroup(limiter *WorkspaceLimiter[V]) bool {
	return e.settings.GroupShares && e.settings.FloorShare(limiter.limits, e.entryCount) == Limits{}
}

// LastContact returns when the last answered request was sent, or when the Entry was created.
func (e *Entry[V]) LastContact() time.Time { return e.lastContact }

// LeaderInTransition reports whether a refusal would be premature: either the leader has not answered for so long that it may
// have failed, or it is so new that it does not grant all of the quota yet.
func (e *Entry[V]) LeaderInTransition(now time.Time) bool {
	return now.Sub(e.lastContact) > e.settings.CutOffAfter/3 || e.leaderIsNew(now)
}

// leaderIsNew reports whether the leader of the present term is new to this entry.
func (e *Entry[V]) leaderIsNew(now time.Time) bool {
	return e.termReplies > 0 && now.Sub(e.termSeenAt) < e.settings.maxWait()
}

// takeFromFloorShare takes a token from the floor share, which starts empty when the entry becomes cut off.
//
// Its rate is reduced by MaxClockDrift, in case the entry's clock runs fast.
func (e *Entry[V]) takeFromFloorShare(limiter *WorkspaceLimiter[V], now time.Time) bool {
	if e.Lent(now) {
		return false
	}
	share := e.settings.FloorShare(limiter.limits, e.entryCount)
	startAt := e.lastContact.Add(e.settings.CutOffAfter)
	if e.group.lentUntil.After(startAt) {
		startAt = e.group.lentUntil
	}
	if limiter.floorShare.refilledAt.Before(startAt) {
		limiter.floorShare = tokenBucket{refilledAt: startAt}
	}
	limiter.floorShare.capacity, limiter.floorShare.rate = share.Burst, share.Rate*(1-MaxClockDrift)
	limiter.floorShare.refill(now)
	return limiter.floorShare.take(1, 0) == 1
}

// NextDraw returns the next request to the leader, or nil if there is nothing to draw and no keep-alive is due.
func (e *Entry[V]) NextDraw(now time.Time) *PendingDraw[V] {
	pending := &PendingDraw[V]{sentAt: now, Request: protocol.DrawRequest{Entry: e.name, Echo: e.echo, EchoOf: e.echoOf}}
	if e.Lent(now) {
		// A proof of contact would make the leader release shares that a keeper still uses.
		pending.Request.Echo, pending.Request.EchoOf = protocol.LeaderStamp{}, protocol.LeaderStamp{}
	}
	for name, limiter := range e.limiters {
		// While cut off, a limiter must not be removed: its floor share would start anew.
		if limiter.isIdle(now) && !e.CutOff(now) {
			delete(e.limiters, name)
			continue
		}
		draw := limiter.nextDraw(now)
		if draw.Want > 0 {
			pending.Request.Draws = append(pending.Request.Draws, draw)
			pending.waiters = append(pending.waiters, append([]*Waiter[V](nil), limiter.waiting[:draw.Need]...))
		}
	}
	if len(pending.Request.Draws) == 0 && e.termReplies >= minProofReplies && now.Sub(e.lastDraw) < e.settings.contactInterval() {
		return nil
	}
	e.lastDraw = now
	return pending
}

// HandleReply applies the leader's reply and returns the results of the requests that it decides.
func (e *Entry[V]) HandleReply(pending *PendingDraw[V], reply *protocol.DrawReply, now time.Time) []Result[V] {
	if len(reply.Grants) != len(pending.Request.Draws) {
		return nil
	}
	if reply.Stamp.Term != e.echo.Term {
		e.termReplies, e.termSeenAt = 0, now
	}
	e.termReplies++
	e.echoOf, e.echo = pending.Request.Echo, reply.Stamp
	e.entryCount = int(reply.Shares)
	if reply.CutOff > 0 {
		e.settings.CutOffAfter = reply.CutOff
	}
	if pending.sentAt.After(e.lastContact) {
		e.lastContact = pending.sentAt
	}
	var results []Result[V]
	for i, grant := range reply.Grants {
		if limiter := e.limiters[grant.Workspace]; limiter != nil && grant.Workspace == pending.Request.Draws[i].Workspace {
			results = e.applyGrant(limiter, pending.sentAt, pending.waiters[i], grant, results, now)
		}
	}
	return results
}

func (e *Entry[V]) applyGrant(limiter *WorkspaceLimiter[V], sentAt time.Time, waiters []*Waiter[V], grant protocol.Grant, results []Result[V], now time.Time) []Result[V] {
	expiry := sentAt.Add(time.Duration((1 - MaxClockDrift) * float64(grant.Lifetime)))
	granted := int(grant.Granted)
	if !now.Before(expiry) {
		granted = 0
	}
	for _, waiter := range waiters {
		waiter.answeredDraws++
	}
	if granted < len(waiters) {
		limiter.shortage.observe(now)
	}
	served := min(granted, len(limiter.waiting))
	for _, waiter := range limiter.waiting[:served] {
		results = append(results, Result[V]{Value: waiter.Value, Admitted: true})
	}
	limiter.waiting = append(limiter.waiting[:0], limiter.waiting[served:]...)
	limiter.tokens.add(uint32(granted-served), expiry, now)
	if grant.RetryAfter > 0 {
		limiter.nextDrawAt = now.Add(max(grant.RetryAfter, minRetryInterval))
	}
	return results
}

// Expire returns the results of the requests that have waited too long, either refused or admitted from the floor share.
func (e *Entry[V]) Expire(now time.Time) []Result[V] {
	var results []Result[V]
	cutOff := e.CutOff(now)
	unreachable := e.leaderUnreachable(now)
	requiredDraws := minAnsweredDraws
	if e.leaderIsNew(now) {
		requiredDraws = math.MaxInt
	}
	for _, limiter := range e.limiters {
		remaining := limiter.waiting[:0]
		for _, waiter := range limiter.waiting {
			waited := now.Sub(waiter.enqueuedAt)
			switch {
			case limiter.tokens.Take(now) || cutOff && e.takeFromFloorShare(limiter, now):
				results = append(results, Result[V]{Value: waiter.Value, Admitted: true})
			case waited >= limiter.wait(waiter, e.settings.maxWait(), now) && (unreachable || waiter.answeredDraws >= requiredDraws), waited >= maxLeaderSilence:
				results = append(results, Result[V]{Value: waiter.Value})
			default:
				remaining = append(remaining, waiter)
			}
		}
		clear(limiter.waiting[len(remaining):])
		limiter.waiting = remaining
	}
	return results
}

// maxLeaderSilence is the longest time that a request waits for a leader that does not answer.
const maxLeaderSilence = 500 * time.Millisecond
