package policy

import (
	"slices"
	"strings"
)

// Region is a set of data centres.
type Region string

// Homes are the regions that a request and its bytes may reach. The zero value allows all.
type Homes struct {
	bound   bool
	regions []Region
}

// NewHomes returns the given regions as homes. Without any, all regions are allowed.
func NewHomes(regions ...Region) Homes { return Homes{bound: len(regions) > 0, regions: regions} }

// Bound reports whether only some regions are allowed.
func (h Homes) Bound() bool { return h.bound }

// Allow reports whether a region is allowed.
func (h Homes) Allow(r Region) bool { return !h.bound || slices.Contains(h.regions, r) }

// And returns the regions that both homes allow, which may be none.
func (h Homes) And(other Homes) Homes {
	if !h.bound || !other.bound {
		if h.bound {
			return h
		}
		return other
	}
	both := Homes{bound: true}
	for _, r := range h.regions {
		if other.Allow(r) {
			both.regions = append(both.regions, r)
		}
	}
	return both
}

// Empty reports whether no region is allowed.
func (h Homes) Empty() bool { return h.bound && len(h.regions) == 0 }

// String returns the regions in order.
func (h Homes) String() string {
	if !h.bound {
		return "all"
	}
	names := make([]string, 0, len(h.regions))
	for _, r := range h.regions {
		names = append(names, string(r))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
