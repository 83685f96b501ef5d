package placement

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// LeaseClient is an entry's side: it keeps the budgets that the leader has granted.
type LeaseClient struct {
	entry       inventory.InstanceName
	incarnation protocol.Incarnation
	drainFor    time.Duration
	id          uint64
	// waiting is true while the reply to the newest request may still be used.
	waiting bool
	sent    time.Time
	budgets map[group.ServerID]*budget
}

// budget is what was last granted of one database.
type budget struct {
	floor, share, target   int
	floorUntil, shareUntil time.Time
}

// Usage is how an entry uses one database, as a home or for as long as it has connections to it.
type Usage struct {
	Database group.ServerID
	// Open is the number of connections, those that are being opened included.
	Open int
	// Demand is the number of connections that the entry has use for.
	Demand int
}

// Budget is the number of connections that an entry may have at a moment.
type Budget struct {
	// Hold is the most that may be open; what is open above it must be closed at once.
	Hold int
	// Target is the most that new transactions may use; what is open above it is closed as it falls idle.
	Target int
}

// NewLeaseClient returns the keeper of one life of an entry; it holds nothing.
func NewLeaseClient(settings Settings, entry inventory.InstanceName, incarnation protocol.Incarnation) *LeaseClient {
	return &LeaseClient{
		entry: entry, incarnation: incarnation, drainFor: settings.DrainPeriod, budgets: make(map[group.ServerID]*budget),
	}
}

// NewRequest gives back what is neither open nor meant to be kept and returns the request to send now.
//
// A reply to an earlier request is not used any more. All of a database that is not listed is given back.
func (k *LeaseClient) NewRequest(now time.Time, usages []Usage) Request {
	k.id++
	k.waiting = true
	k.sent = now
	request := Request{Entry: k.entry, Incarnation: k.incarnation, ID: k.id}
	old := k.budgets
	k.budgets = make(map[group.ServerID]*budget, len(usages))
	for _, usage := range usages {
		b := old[usage.Database]
		if b == nil {
			b = &budget{}
		}
		b.lower(now, usage.Open)
		k.budgets[usage.Database] = b
		request.Holdings = append(request.Holdings, Holding{
			Database: usage.Database, Floor: b.floor, Share: b.share, Demand: usage.Demand,
		})
	}
	return request
}

// lower drops what has run out and what is above both the target and the open connections.
func (b *budget) lower(now time.Time, open int) {
	keep := max(b.target, open)
	b.floor = min(b.floorAt(now), keep)
	b.share = min(b.shareAt(now), keep-b.floor)
}

func (b *budget) floorAt(now time.Time) int {
	if !now.Before(b.floorUntil) {
		return 0
	}
	return b.floor
}

func (b *budget) shareAt(now time.Time) int {
	if !now.Before(b.shareUntil) {
		return 0
	}
	return b.share
}

// HandleReply takes in the reply to the newest request; it reports false for any other, which is not used.
func (k *LeaseClient) HandleReply(reply *Reply) bool {
	if !k.waiting || reply.ID != k.id {
		return false
	}
	k.waiting = false
	for _, grant := range reply.Grants {
		if b := k.budgets[grant.Database]; b != nil {
			b.floor, b.floorUntil = grant.Floor, k.sent.Add(reply.FloorLease)
			b.share, b.shareUntil = grant.Share, k.sent.Add(reply.ShareLease)
			b.target = grant.Target
		}
	}
	return true
}

// Budget returns what the entry may have of a database.
func (k *LeaseClient) Budget(now time.Time, database group.ServerID) Budget {
	b := k.budgets[database]
	if b == nil {
		return Budget{}
	}
	soon := now.Add(k.drainFor)
	return Budget{
		Hold:   b.floorAt(now) + b.shareAt(now),
		Target: min(b.target, b.floorAt(soon)+b.shareAt(soon)),
	}
}
