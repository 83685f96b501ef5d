package placement

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// target returns the share that a home should have.
//
// Shares stay where they are while every home has what it has use for, so that small changes of demand move nothing.
func (d *server) target(now time.Time, h holder) int {
	demands := make([]int, len(d.homes))
	mine, settled := 0, d.shares.free(holder{}, now) == 0
	for i, name := range d.homes {
		demands[i] = max(0, d.demand[name]-d.floor)
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

// divide gives each home at least one connection, then each its demand as evenly as it goes, then the rest evenly.
func divide(limit int, demands []int) []int {
	shares := make([]int, len(demands))
	limit = spread(limit, shares, func(i int) bool { return shares[i] < max(1, demands[i]) })
	spread(limit, shares, func(int) bool { return true })
	return shares
}

// spread gives one connection at a time, in turn to each home that wants one, and returns what is left.
func spread(limit int, shares []int, wants func(i int) bool) int {
	for given := true; given && limit > 0; {
		given = false
		for i := range shares {
			if limit == 0 || !wants(i) {
				continue
			}
			shares[i]++
			limit--
			given = true
		}
	}
	return limit
}
