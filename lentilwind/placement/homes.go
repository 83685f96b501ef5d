package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Database is what the placement knows about one backend server.
type Database struct {
	ID         group.ServerID
	DataCentre inventory.DataCentre
	Region     inventory.RegionName
	// Connections is the limit of connections from the whole fleet.
	Connections int
}

// Entry is a live entry that accepts new work.
type Entry struct {
	Name       inventory.InstanceName
	DataCentre inventory.DataCentre
	Region     inventory.RegionName
}

// distance orders entries by their distance to a database.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
)

func distanceOf(database *Database, entry *Entry) distance {
	switch {
	case entry.DataCentre == database.DataCentre:
		return sameDataCentre
	case entry.Region == database.Region:
		return sameRegion
	}
	return otherRegion
}

// candidate is an entry that may become a home.
type candidate struct {
	name     inventory.InstanceName
	distance distance
	score    uint64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(c.distance, other.distance),
		cmp.Compare(other.score, c.score),
		cmp.Compare(c.name, other.name),
	)
}

// databaseSeed returns the hash seed of a database's name.
func databaseSeed(id group.ServerID) uint64 {
	digest := xxhash.NewWithSeed(xxhash.Sum64String(string(id.Service)))
	_, _ = digest.WriteString(string(id.Server))
	return digest.Sum64()
}

// score returns an entry's rendezvous hash for a database. It depends on the two names only.
func score(seed uint64, entry inventory.InstanceName) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(seed)
	_, _ = digest.WriteString(string(entry))
	return digest.Sum64()
}

// Homes appends at most n homes of a database to dst, the best first: entries in its data centre come before those in its
// region, and these before all others.
func Homes(dst []inventory.InstanceName, database *Database, entries []Entry, n int) []inventory.InstanceName {
	n = min(n, database.Connections)
	if n <= 0 {
		return dst
	}
	best := make([]candidate, 0, n+1)
	seed := databaseSeed(database.ID)
	for i := range entries {
		entry := &entries[i]
		d := distanceOf(database, entry)
		if len(best) == n && d > best[n-1].distance {
			continue
		}
		c := candidate{name: entry.Name, distance: d, score: score(seed, entry.Name)}
		index, _ := slices.BinarySearchFunc(best, c, candidate.compare)
		if index >= n {
			continue
		}
		best = slices.Insert(best, index, c)
		best = best[:min(len(best), n)]
	}
	for _, c := range best {
		dst = append(dst, c.name)
	}
	return dst
}
