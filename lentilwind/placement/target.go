package placement

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// maxDemandFactor bounds the demand of one home, as a multiple of the database's limit, so that a long queue at one home does
// not starve the others.
const maxDemandFactor = 2

// targetShare returns the share that a home should have.
//
// Shares do not change while every home has all the connections that it can use, so that small changes of demand move no
// connections.
func (d *databaseState) targetShare(now time.Time, h holder) int {
	demands := make([]int, len(d.homes))
	ownIndex, balanced := 0, d.shareLeases.available(holder{}, now) == 0
	for i, name := range d.homes {
		demands[i] = min(maxDemandFactor*d.Connections, max(0, d.demand[name]-d.homeFloor))
		held := d.heldByEntry(now, name)
		balanced = balanced && held > 0 && demands[i] <= held
		if name == h.name {
			ownIndex = i
		}
	}
	if held := d.shareLeases.held(h, now); balanced && held > 0 {
		return held
	}
	return divideByDemand(d.shareLeases.limit, demands)[ownIndex]
}

// heldByEntry returns the most connections that any incarnation of an entry may hold.
func (d *databaseState) heldByEntry(now time.Time, name inventory.InstanceName) int {
	held := 0
	for h := range d.shareLeases.leases {
		if h.name == name {
			held = max(held, d.shareLeases.held(h, now))
		}
	}
	return held
}

// divideByDemand gives each home at least one connection, then divides the rest in proportion to the demand, and evenly once
// all demand is met.
func divideByDemand(limit int, demands []int) []int {
	shares := make([]int, len(demands))
	for limit > 0 {
		best := 0
		for i := range shares {
			if newPriority(shares[i], demands[i]).precedes(newPriority(shares[best], demands[best])) {
				best = i
			}
		}
		shares[best]++
		limit--
	}
	return shares
}

// priority orders homes by their need for one more connection.
type priority struct {
	demand, share int
}

// newPriority returns the priority of a home. Demand counts as at least one, so that a home whose demand is met comes after
// any other.
func newPriority(share, demand int) priority {
	return priority{demand: max(1, demand), share: share}
}

// precedes compares the demand per connection as it would be with one more. A home without a connection comes first.
func (p priority) precedes(other priority) bool {
	if (p.share == 0) != (other.share == 0) {
		return p.share == 0
	}
	if unmet, otherUnmet := p.share < p.demand, other.share < other.demand; unmet != otherUnmet {
		return unmet
	}
	if p.share >= p.demand {
		return p.share < other.share
	}
	return p.demand*(other.share+1) > other.demand*(p.share+1)
}
