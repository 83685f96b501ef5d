package lease

import (
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Grants is what one leader knows of the leases that entries hold.
type Grants struct {
	length time.Duration
	// blindUntil ends the time in which leases of an earlier leader may be valid that this one knows nothing of.
	blindUntil time.Time
	entries    map[inventory.InstanceName]*entryGrants
}

// entryGrants is the leases that one entry may hold.
type entryGrants struct {
	applied inventory.Revision
	// leases are ordered by revision; a newer grant does not end an older one, because its reply may be lost.
	leases []grantedLease
}

// grantedLease is the newest lease that was granted for one revision.
type grantedLease struct {
	revision inventory.Revision
	until    time.Time
}

// NewGrants returns the record of a leader that begins now.
func NewGrants(now time.Time, length time.Duration) *Grants {
	return &Grants{
		length:     length,
		blindUntil: now.Add(withDrift(length)),
		entries:    make(map[inventory.InstanceName]*entryGrants),
	}
}

// ReportApplied notes which revision an entry has in force.
func (g *Grants) ReportApplied(entry inventory.InstanceName, applied inventory.Revision) {
	e := g.entry(entry)
	e.applied = max(e.applied, applied)
}

// Grant notes a lease for a revision that an entry asked for; received is when its request arrived.
func (g *Grants) Grant(entry inventory.InstanceName, received time.Time, revision inventory.Revision) time.Duration {
	e := g.entry(entry)
	until := received.Add(withDrift(g.length))
	e.leases = slices.DeleteFunc(e.leases, func(l grantedLease) bool { return l.until.Before(received) })
	if n := len(e.leases); n > 0 && e.leases[n-1].revision == revision {
		e.leases[n-1].until = until
		return g.length
	}
	e.leases = append(e.leases, grantedLease{revision: revision, until: until})
	return g.length
}

func (g *Grants) entry(name inventory.InstanceName) *entryGrants {
	e := g.entries[name]
	if e == nil {
		e = &entryGrants{}
		g.entries[name] = e
	}
	return e
}

// olderUntil returns until when the entry may hold a lease on an older revision.
func (e *entryGrants) olderUntil(revision inventory.Revision) time.Time {
	var until time.Time
	if e.applied >= revision {
		return until
	}
	for _, l := range e.leases {
		if l.revision < revision && l.until.After(until) {
			until = l.until
		}
	}
	return until
}

// InForce tells whether no entry can act on an older revision than the given one.
//
// Otherwise it lists the entries that may, and when the last of their leases ends.
func (g *Grants) InForce(now time.Time, revision inventory.Revision) (inForce bool, waitingFor []inventory.InstanceName, until time.Time) {
	until = g.blindUntil
	for _, name := range slices.Sorted(maps.Keys(g.entries)) {
		older := g.entries[name].olderUntil(revision)
		if !now.Before(older) {
			continue
		}
		waitingFor = append(waitingFor, name)
		if older.After(until) {
			until = older
		}
	}
	return len(waitingFor) == 0 && !now.Before(g.blindUntil), waitingFor, until
}

// Lease is the state of one entry's lease.
type Lease struct {
	Entry   inventory.InstanceName
	Applied inventory.Revision
	// Remaining is the time to the end of the newest lease; it is not above 0 when that has ended.
	Remaining time.Duration
}

// Leases returns the state of all entries' leases, ordered by name.
func (g *Grants) Leases(now time.Time) []Lease {
	leases := make([]Lease, 0, len(g.entries))
	for _, name := range slices.Sorted(maps.Keys(g.entries)) {
		e := g.entries[name]
		lease := Lease{Entry: name, Applied: e.applied}
		for _, l := range e.leases {
			lease.Remaining = max(lease.Remaining, l.until.Sub(now))
		}
		leases = append(leases, lease)
	}
	return leases
}

// RemoveExpired drops entries whose leases ended before a time.
func (g *Grants) RemoveExpired(before time.Time) {
	maps.DeleteFunc(g.entries, func(_ inventory.InstanceName, e *entryGrants) bool {
		return !slices.ContainsFunc(e.leases, func(l grantedLease) bool { return l.until.After(before) })
	})
}
