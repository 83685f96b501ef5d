package route

import (
	"github.com/cespare/xxhash/v2"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// SlotOf returns the slot that a key hashes to; requests without a key belong to slot 0.
func SlotOf(key string, slots int) group.Slot {
	if key == "" || slots <= 1 {
		return 0
	}
	return group.Slot(xxhash.Sum64String(key) % uint64(slots))
}

// Index finds routes by name.
type Index struct {
	routes       map[inventory.RouteName]*inventory.Route
	defaultRoute inventory.Route
}

// NewIndex returns an index of an inventory's routes.
func NewIndex(routes []inventory.Route) *Index {
	index := &Index{routes: make(map[inventory.RouteName]*inventory.Route, len(routes)), defaultRoute: inventory.DefaultRoute()}
	for _, r := range routes {
		index.routes[r.Name] = &r
	}
	return index
}

// Lookup returns the route with a name for a request to a service; false means that the service has no route of that name.
//
// A request without a name takes the default route. The result is shared and must not be modified.
func (x *Index) Lookup(service group.Service, name inventory.RouteName) (*inventory.Route, bool) {
	if name == "" {
		return &x.defaultRoute, true
	}
	found := x.routes[name]
	if found == nil || found.Service != "" && found.Service != service {
		return nil, false
	}
	return found, true
}
