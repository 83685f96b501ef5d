package placement

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// maxDemand bounds the demand that counts, in limits of the database, so that a long queue at one home does not empty the others.
const maxDemand = 2

// target returns the share that a home should have.
//
// Shares stay where they are while every home has what it has use for, so that small changes of demand move nothing.
func (d *server) target(now time.Time, h holder) int {
	demands := make([]int, len(d.homes))
	mine, settled := 0, d.shares.free(holder{}, now) == 0
	for i, name := range d.homes {
		demands[i] = min(maxDemand*d.Connections, max(0, d.demand[name]-d.floor))
		held := d.heldBy(now, name)
		settled = settled && held > 0 && demands[i] <= held
		if name == h.name {
			mine = i
		}
	}
	if held := d.shares.held(h, now); settled && held > 0 {
		return held
	}
	return divide(d.shares.limit, demands)[mine]
}

// heldBy returns the most that a life of an entry may hold.
func (d *server) heldBy(now time.Time, name inventory.InstanceName) int {
	held := 0
	for h := range d.shares.records {
		if h.name == name {
			held = max(held, d.shares.held(h, now))
		}
	}
	return held
}

// divide gives each home at least one connection, then what there is in proportion to the demand, then the rest evenly.
func divide(limit int, demands []int) []int {
	shares := make([]int, len(demands))
	for limit > 0 {
		best := 0
		for i := range shares {
			if newClaim(shares[i], demands[i]).above(newClaim(shares[best], demands[best])) {
				best = i
			}
		}
		shares[best]++
		limit--
	}
	return shares
}

// claim is how urgently a home needs one more connection.
type claim struct {
	demand, share int
}

// newClaim returns the claim of a home; one that has what it has use for claims less than any other.
func newClaim(share, demand int) claim {
	return claim{demand: max(1, demand), share: share}
}

// above compares the demand for each connection if one more was given; a home without any goes first.
func (c claim) above(other claim) bool {
	if (c.share == 0) != (other.share == 0) {
		return c.share == 0
	}
	if short, otherShort := c.share < c.demand, other.share < other.demand; short != otherShort {
		return short
	}
	if c.share >= c.demand {
		return c.share < other.share
	}
	return c.demand*(other.share+1) > other.demand*(c.share+1)
}
