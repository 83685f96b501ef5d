package lease

import (
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Grants tracks the leases that a leader has granted to entries. It is not safe for concurrent use.
type Grants struct {
	length time.Duration
	// unknownLeasesUntil is when the last lease expires that an earlier leader may have granted without this one knowing.
	unknownLeasesUntil time.Time
	entries            map[inventory.InstanceName]*entryGrants
}

// entryGrants is what the leader knows about one entry and its leases.
type entryGrants struct {
	applied inventory.Revision
	// leases are ordered by revision; a newer grant does not end an older one, because its reply may be lost.
	leases []grantedLease
}

// grantedLease is the latest lease granted for one revision.
type grantedLease struct {
	revision  inventory.Revision
	expiresAt time.Time
}

// NewGrants returns the Grants of a leader whose term begins now.
func NewGrants(now time.Time, length time.Duration) *Grants {
	return &Grants{
		length:             length,
		unknownLeasesUntil: now.Add(withDrift(length)),
		entries:            make(map[inventory.InstanceName]*entryGrants),
	}
}

// ReportApplied records the revision that an entry has applied.
func (g *Grants) ReportApplied(entry inventory.InstanceName, applied inventory.Revision) {
	e := g.entryFor(entry)
	e.applied = max(e.applied, applied)
}

// Grant records a lease on a revision for an entry and returns its duration; received is when the request arrived.
func (g *Grants) Grant(entry inventory.InstanceName, received time.Time, revision inventory.Revision) time.Duration {
	e := g.entryFor(entry)
	expiresAt := received.Add(withDrift(g.length))
	e.leases = slices.DeleteFunc(e.leases, func(l grantedLease) bool { return l.expiresAt.Before(received) })
	if n := len(e.leases); n > 0 && e.leases[n-1].revision == revision {
		e.leases[n-1].expiresAt = expiresAt
		return g.length
	}
	e.leases = append(e.leases, grantedLease{revision: revision, expiresAt: expiresAt})
	return g.length
}

func (g *Grants) entryFor(name inventory.InstanceName) *entryGrants {
	e := g.entries[name]
	if e == nil {
		e = &entryGrants{}
		g.entries[name] = e
	}
	return e
}

// olderLeasesUntil returns when the last lease of the entry on an older revision expires; zero if it has none.
func (e *entryGrants) olderLeasesUntil(revision inventory.Revision) time.Time {
	var until time.Time
	if e.applied >= revision {
		return until
	}
	for _, l := range e.leases {
		if l.revision < revision && l.expiresAt.After(until) {
			until = l.expiresAt
		}
	}
	return until
}

// InForce reports whether no entry can still act on a revision older than the given one.
//
// Otherwise it returns the entries that may and when the last of their leases expires.
func (g *Grants) InForce(now time.Time, revision inventory.Revision) (inForce bool, waitingFor []inventory.InstanceName, until time.Time) {
	until = g.unknownLeasesUntil
	for _, name := range slices.Sorted(maps.Keys(g.entries)) {
		olderUntil := g.entries[name].olderLeasesUntil(revision)
		if !now.Before(olderUntil) {
			continue
		}
		waitingFor = append(waitingFor, name)
		if olderUntil.After(until) {
			until = olderUntil
		}
	}
	return len(waitingFor) == 0 && !now.Before(g.unknownLeasesUntil), waitingFor, until
}

// Lease is the state of the lease of one entry.
type Lease struct {
	Entry   inventory.InstanceName
	Applied inventory.Revision
	// Remaining is the time until the newest lease expires; it is 0 if that has expired.
	Remaining time.Duration
}

// Leases returns the state of the leases of all entries, sorted by entry name.
func (g *Grants) Leases(now time.Time) []Lease {
	leases := make([]Lease, 0, len(g.entries))
	for _, name := range slices.Sorted(maps.Keys(g.entries)) {
		e := g.entries[name]
		lease := Lease{Entry: name, Applied: e.applied}
		for _, l := range e.leases {
			lease.Remaining = max(lease.Remaining, l.expiresAt.Sub(now))
		}
		leases = append(leases, lease)
	}
	return leases
}

// RemoveExpired removes the entries that hold no lease which expires after the given time.
func (g *Grants) RemoveExpired(at time.Time) {
	maps.DeleteFunc(g.entries, func(_ inventory.InstanceName, e *entryGrants) bool {
		return !slices.ContainsFunc(e.leases, func(l grantedLease) bool { return l.expiresAt.After(at) })
	})
}
