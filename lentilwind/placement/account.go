package placement

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// holder is one life of an entry; a new life does not inherit what the old one may still hold.
type holder struct {
	name        inventory.InstanceName
	incarnation protocol.Incarnation
}

// record is the most that a holder may hold until a time.
type record struct {
	n     int
	until time.Time
}

// account is the connections of one database that are leased for the same time.
type account struct {
	limit   int
	records map[holder]record
}

func newAccount() account {
	return account{records: make(map[holder]record)}
}

// empty tells that nobody may hold anything.
func (a *account) empty(now time.Time) bool {
	a.free(holder{}, now)
	return len(a.records) == 0
}

// held returns what a holder may still hold.
func (a *account) held(h holder, now time.Time) int {
	r := a.records[h]
	if !now.Before(r.until) {
		return 0
	}
	return r.n
}

// free returns what no other holder may hold, and forgets leases that are over.
func (a *account) free(h holder, now time.Time) int {
	free := a.limit
	for other, r := range a.records {
		if !now.Before(r.until) {
			delete(a.records, other)
			continue
		}
		if other != h {
			free -= r.n
		}
	}
	return max(0, free)
}

// renew lengthens the lease of what is reported, as far as it is on record, and raises it towards the target.
//
// A blind leader has no record yet: it believes the report as far as the limit allows, and raises nothing.
func (a *account) renew(h holder, now, until time.Time, reported, target int, blind bool) int {
	free := a.free(h, now)
	var n int
	if blind {
		n = min(reported, free)
	} else {
		n = min(reported, a.held(h, now))
		n = max(n, min(target, free))
	}
	if n <= 0 {
		delete(a.records, h)
		return 0
	}
	a.records[h] = record{n: n, until: until}
	return n
}
