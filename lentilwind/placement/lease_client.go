package placement

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// LeaseClient is the entry's side of placement: it requests leases and holds the budgets that the leader has granted.
type LeaseClient struct {
	entry       inventory.InstanceName
	incarnation protocol.Incarnation
	drainPeriod time.Duration
	requestID   uint64
	// awaitingReply is true until the reply to the newest request has been applied.
	awaitingReply bool
	sentAt        time.Time
	budgets       map[group.ServerID]*grantedBudget
}

// grantedBudget is the last grant for one database.
type grantedBudget struct {
	floor, share, target   int
	floorUntil, shareUntil time.Time
}

// Usage is an entry's use of one database. It is reported as long as the entry is a home or has connections to it.
type Usage struct {
	Database group.ServerID
	// Open is the number of connections, including those that are being opened.
	Open int
	// Demand is the number of connections that the entry can use.
	Demand int
}

// Budget is the number of connections that an entry may have at a given time.
type Budget struct {
	// Hold is the hard limit: connections above it must be closed at once.
	Hold int
	// Target is the limit for new transactions: connections above it are closed when they become idle.
	Target int
}

// NewLeaseClient returns the client of one incarnation of an entry. It starts without budgets.
func NewLeaseClient(settings Settings, entry inventory.InstanceName, incarnation protocol.Incarnation) *LeaseClient {
	return &LeaseClient{
		entry: entry, incarnation: incarnation, drainPeriod: settings.DrainPeriod, budgets: make(map[group.ServerID]*grantedBudget),
	}
}

// NewRequest gives up the connections that are neither open nor part of the target, and returns the request to send now.
//
// It invalidates replies to earlier requests. Databases that are not listed are given back entirely.
func (c *LeaseClient) NewRequest(now time.Time, usages []Usage) Request {
	c.requestID++
	c.awaitingReply = true
	c.sentAt = now
	request := Request{Entry: c.entry, Incarnation: c.incarnation, ID: c.requestID}
	old := c.budgets
	c.budgets = make(map[group.ServerID]*grantedBudget, len(usages))
	for _, usage := range usages {
		b := old[usage.Database]
		if b == nil {
			b = &grantedBudget{}
		}
		b.releaseUnused(now, usage.Open)
		c.budgets[usage.Database] = b
		request.Holdings = append(request.Holdings, Holding{
			Database: usage.Database, Floor: b.floor, Share: b.share, Demand: usage.Demand,
		})
	}
	return request
}

// releaseUnused drops expired leases, and connections above both the target and the number that are open.
func (b *grantedBudget) releaseUnused(now time.Time, open int) {
	keep := max(b.target, open)
	b.floor = min(b.floorAt(now), keep)
	b.share = min(b.shareAt(now), keep-b.floor)
}

func (b *grantedBudget) floorAt(now time.Time) int {
	if !now.Before(b.floorUntil) {
		return 0
	}
	return b.floor
}

func (b *grantedBudget) shareAt(now time.Time) int {
	if !now.Before(b.shareUntil) {
		return 0
	}
	return b.share
}

// HandleReply applies the reply to the newest request. It ignores any other reply and returns false.
func (c *LeaseClient) HandleReply(reply *Reply) bool {
	if !c.awaitingReply || reply.ID != c.requestID {
		return false
	}
	c.awaitingReply = false
	for _, grant := range reply.Grants {
		if b := c.budgets[grant.Database]; b != nil {
			b.floor, b.floorUntil = grant.Floor, c.sentAt.Add(reply.FloorLease)
			b.share, b.shareUntil = grant.Share, c.sentAt.Add(reply.ShareLease)
			b.target = grant.Target
		}
	}
	return true
}

// Budget returns the entry's budget for a database.
func (c *LeaseClient) Budget(now time.Time, database group.ServerID) Budget {
	b := c.budgets[database]
	if b == nil {
		return Budget{}
	}
	drainAt := now.Add(c.drainPeriod)
	return Budget{
		Hold:   b.floorAt(now) + b.shareAt(now),
		Target: min(b.target, b.floorAt(drainAt)+b.shareAt(drainAt)),
	}
}
