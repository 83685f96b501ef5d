package placement

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// holder identifies one incarnation of an entry. A restarted entry does not inherit the leases that the previous incarnation
// may still use.
type holder struct {
	name        inventory.InstanceName
	incarnation protocol.Incarnation
}

// connectionLease is the number of connections that a holder may have open, and when that ends.
type connectionLease struct {
	connections int
	expiresAt   time.Time
}

// leaseTable holds the leases of one database that have the same duration.
type leaseTable struct {
	limit  int
	leases map[holder]connectionLease
}

func newLeaseTable() leaseTable {
	return leaseTable{leases: make(map[holder]connectionLease)}
}

// isEmpty reports whether there is no valid lease.
func (t *leaseTable) isEmpty(now time.Time) bool {
	t.available(holder{}, now)
	return len(t.leases) == 0
}

// held returns the number of connections that a holder may still have open.
func (t *leaseTable) held(h holder, now time.Time) int {
	lease := t.leases[h]
	if !now.Before(lease.expiresAt) {
		return 0
	}
	return lease.connections
}

// available returns the number of connections that are not leased to other holders, and removes expired leases.
func (t *leaseTable) available(h holder, now time.Time) int {
	available := t.limit
	for other, lease := range t.leases {
		if !now.Before(lease.expiresAt) {
			delete(t.leases, other)
			continue
		}
		if other != h {
			available -= lease.connections
		}
	}
	return max(0, available)
}

// renew extends a holder's lease of the reported connections, as far as the lease is known, and raises it towards the target.
//
// While the leader is recovering, it has no records of earlier leases: it accepts the report as far as the limit allows and
// raises nothing.
func (t *leaseTable) renew(h holder, now, expiresAt time.Time, reported, target int, recovering bool) int {
	available := t.available(h, now)
	var connections int
	if recovering {
		connections = min(reported, available)
	} else {
		connections = min(reported, t.held(h, now))
		connections = max(connections, min(target, available))
	}
	if connections <= 0 {
		delete(t.leases, h)
		return 0
	}
	t.leases[h] = connectionLease{connections: connections, expiresAt: expiresAt}
	return connections
}
