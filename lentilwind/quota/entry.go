package quota

import (
	"math"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Entry is an entry's side of the quota; only Account.Admit may be called without the lock of its owner.
type Entry[V any] struct {
	settings Settings
	name     inventory.InstanceName
	accounts map[inventory.WorkspaceName]*WorkspaceLimiter[V]
	// lastContact is when the last request that got an answer was sent.
	lastContact time.Time
	lastSent    time.Time
	echo        protocol.LeaderStamp
	echoOf      protocol.LeaderStamp
	// shares is the number of entries that the floors are divided among; 0 before the first contact.
	shares int
	// answers counts the replies of the present term, the first of which came at met.
	answers int
	met     time.Time
}

// PendingDraw is one request to the leader that is under way.
type PendingDraw[V any] struct {
	Request protocol.DrawRequest

	sent    time.Time
	tickets [][]*Waiter[V]
}

// Result is a waiting request with its outcome.
type Result[V any] struct {
	Value    V
	Admitted bool
}

// Decision is the outcome of a request that found no token at hand.
type Decision string

// The decisions.
const (
	Admitted Decision = "admitted"
	Refused  Decision = "refused"
	// Waiting means that the leader is asked first.
	Waiting Decision = "waiting"
)

// Limits of an entry.
const (
	// maxWaiting bounds the waiting requests of one workspace.
	maxWaiting = 1024
	// minAsks is how often the leader is asked for a request before it is refused.
	minAsks = 2
	// provingAnswers is how many answers of a leader an entry needs to prove its contact; until then it asks without a pause.
	provingAnswers = 3
	// minPause is the least time between asking for a workspace that has nothing left.
	minPause = 10 * time.Millisecond
)

// NewEntry returns an entry that has had no contact; until its first it has no floor share, since it can't know its size.
func NewEntry[V any](settings Settings, name inventory.InstanceName, now time.Time) *Entry[V] {
	return &Entry[V]{
		settings:    settings,
		name:        name,
		accounts:    make(map[inventory.WorkspaceName]*WorkspaceLimiter[V]),
		lastContact: now,
	}
}

// Limiter returns a workspace's account with its limits as they are now.
func (e *Entry[V]) Limiter(workspace inventory.WorkspaceName, limits Limits, now time.Time) *WorkspaceLimiter[V] {
	a := e.accounts[workspace]
	if a == nil {
		a = &WorkspaceLimiter[V]{workspace: workspace, tokens: GrantedTokens{origin: now}, forecast: forecast{at: now}, active: now}
		e.accounts[workspace] = a
	}
	a.limits = limits
	a.lifetime = e.settings.GrantLifetime(limits)
	return a
}

// Enqueue decides on a request for which Admit has found no token; the ticket of a waiting one is settled by Reply or Expire.
func (e *Entry[V]) Enqueue(a *WorkspaceLimiter[V], value V, now time.Time) (Decision, *Waiter[V]) {
	a = e.kept(a)
	if e.CutOff(now) {
		if len(a.waiting) == 0 && e.takeFloor(a, now) {
			return Admitted, nil
		}
		if e.alone(now) && float64(len(a.waiting)) >= e.settings.FloorShare(a.limits, e.shares).Rate*e.settings.maxWait().Seconds() {
			return Refused, nil
		}
	}
	if len(a.waiting) >= maxWaiting {
		return Refused, nil
	}
	ticket := &Waiter[V]{Value: value, since: now}
	a.waiting = append(a.waiting, ticket)
	return Waiting, ticket
}

// kept returns the account that draws for a's workspace; a itself is kept again if it has been forgotten meanwhile.
func (e *Entry[V]) kept(a *WorkspaceLimiter[V]) *WorkspaceLimiter[V] {
	if known := e.accounts[a.workspace]; known != nil {
		return known
	}
	e.accounts[a.workspace] = a
	return a
}

// Cancel takes back a ticket that is not settled yet.
func (e *Entry[V]) Cancel(a *WorkspaceLimiter[V], ticket *Waiter[V]) {
	a = e.kept(a)
	for i, other := range a.waiting {
		if other == ticket {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
}

// CutOff tells whether the entry has been without contact for so long that it uses its floor share.
func (e *Entry[V]) CutOff(now time.Time) bool { return now.Sub(e.lastContact) > e.settings.CutOffAfter }

// alone tells whether the floor share is all that there has been for so long that no answer of a leader is to be expected soon.
func (e *Entry[V]) alone(now time.Time) bool {
	return now.Sub(e.lastContact) > e.settings.CutOffAfter+maxSilence
}

// LastContact returns when the last request that got an answer was sent, or when the entry began.
func (e *Entry[V]) LastContact() time.Time { return e.lastContact }

// LeaderInTransition tells whether a refusal would be premature: the leader has not answered for so long that it may be gone, or is so new that
// it does not grant all that it has yet.
func (e *Entry[V]) LeaderInTransition(now time.Time) bool {
	return now.Sub(e.lastContact) > e.settings.CutOffAfter/3 || e.meeting(now)
}

// meeting tells whether the leader of the present term is new to this entry.
func (e *Entry[V]) meeting(now time.Time) bool {
	return e.answers > 0 && now.Sub(e.met) < e.settings.maxWait()
}

// takeFloor takes a token out of the floor share, which begins empty when the entry becomes cut off.
//
// Its rate is less than the share by the most that the entry's clock may run fast.
func (e *Entry[V]) takeFloor(a *WorkspaceLimiter[V], now time.Time) bool {
	share := e.settings.FloorShare(a.limits, e.shares)
	begin := e.lastContact.Add(e.settings.CutOffAfter)
	if a.floor.settled.Before(begin) {
		a.floor = bucket{settled: begin}
	}
	a.floor.depth, a.floor.rate = share.Burst, share.Rate*(1-MaxClockDrift)
	a.floor.settle(now)
	return a.floor.take(1, 0) == 1
}

// NextDraw returns the next request to the leader; nil while there is nothing to ask and the contact is fresh.
func (e *Entry[V]) NextDraw(now time.Time) *PendingDraw[V] {
	round := &PendingDraw[V]{sent: now, Request: protocol.DrawRequest{Entry: e.name, Echo: e.echo, EchoOf: e.echoOf}}
	for name, a := range e.accounts {
		// The floor share must not begin anew while it is in use.
		if a.idle(now) && !e.CutOff(now) {
			delete(e.accounts, name)
			continue
		}
		draw := a.draw(now)
		if draw.Want > 0 {
			round.Request.Draws = append(round.Request.Draws, draw)
			round.tickets = append(round.tickets, append([]*Waiter[V](nil), a.waiting[:draw.Need]...))
		}
	}
	if len(round.Request.Draws) == 0 && e.answers >= provingAnswers && now.Sub(e.lastSent) < e.settings.contactEvery() {
		return nil
	}
	e.lastSent = now
	return round
}

// HandleReply takes in the leader's answer to a round and returns the requests that it settles.
func (e *Entry[V]) HandleReply(round *PendingDraw[V], reply *protocol.DrawReply, now time.Time) []Result[V] {
	if len(reply.Grants) != len(round.Request.Draws) {
		return nil
	}
	if reply.Stamp.Term != e.echo.Term {
		e.answers, e.met = 0, now
	}
	e.answers++
	e.echoOf, e.echo = round.Request.Echo, reply.Stamp
	e.shares = int(reply.Shares)
	if reply.CutOff > 0 {
		e.settings.CutOffAfter = reply.CutOff
	}
	if round.sent.After(e.lastContact) {
		e.lastContact = round.sent
	}
	var settled []Result[V]
	for i, grant := range reply.Grants {
		if a := e.accounts[grant.Workspace]; a != nil && grant.Workspace == round.Request.Draws[i].Workspace {
			settled = e.receive(a, round.sent, round.tickets[i], grant, settled, now)
		}
	}
	return settled
}

func (e *Entry[V]) receive(a *WorkspaceLimiter[V], sent time.Time, asked []*Waiter[V], grant protocol.Grant, settled []Result[V], now time.Time) []Result[V] {
	end := sent.Add(time.Duration((1 - MaxClockDrift) * float64(grant.Lifetime)))
	granted := int(grant.Granted)
	if !now.Before(end) {
		granted = 0
	}
	for _, ticket := range asked {
		ticket.asks++
	}
	served := min(granted, len(a.waiting))
	for _, ticket := range a.waiting[:served] {
		settled = append(settled, Result[V]{Value: ticket.Value, Admitted: true})
	}
	a.waiting = append(a.waiting[:0], a.waiting[served:]...)
	a.tokens.add(uint32(granted-served), end, now)
	if grant.RetryAfter > 0 {
		a.nextAsk = now.Add(max(grant.RetryAfter, minPause))
	}
	return settled
}

// Expire returns the requests that have waited too long, as refused, or as admitted out of the floor share.
func (e *Entry[V]) Expire(now time.Time) []Result[V] {
	var settled []Result[V]
	cutOff := e.CutOff(now)
	final := e.alone(now)
	asks := minAsks
	if e.meeting(now) {
		asks = math.MaxInt
	}
	for _, a := range e.accounts {
		left := a.waiting[:0]
		for _, ticket := range a.waiting {
			waited := now.Sub(ticket.since)
			switch {
			case a.tokens.Take(now) || cutOff && e.takeFloor(a, now):
				settled = append(settled, Result[V]{Value: ticket.Value, Admitted: true})
			case waited >= e.settings.maxWait() && (final || ticket.asks >= asks), waited >= maxSilence:
				settled = append(settled, Result[V]{Value: ticket.Value})
			default:
				left = append(left, ticket)
			}
		}
		clear(a.waiting[len(left):])
		a.waiting = left
	}
	return settled
}

// maxSilence is the longest wait for a leader that does not answer.
const maxSilence = 500 * time.Millisecond
