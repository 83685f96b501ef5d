package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Database is what the placement knows of one backend server.
type Database struct {
	ID         group.ServerID
	DataCentre inventory.DataCentre
	Region     inventory.RegionName
	// Connections is the most that the fleet opens to it.
	Connections int
}

// Entry is a live entry that takes new work.
type Entry struct {
	Name       inventory.InstanceName
	DataCentre inventory.DataCentre
	Region     inventory.RegionName
}

// distance orders entries by how far they stand from a database.
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

// candidate is an entry's claim to be a home.
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

// seedOf is the hash of a database's name.
func seedOf(id group.ServerID) uint64 {
	digest := xxhash.NewWithSeed(xxhash.Sum64String(string(id.Service)))
	_, _ = digest.WriteString(string(id.Server))
	return digest.Sum64()
}

// score is an entry's rendezvous weight for a database; it depends on nothing else.
func score(seed uint64, entry inventory.InstanceName) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(seed)
	_, _ = digest.WriteString(string(entry))
	return digest.Sum64()
}

// Homes appends at most n homes of a database to dst, the best first: those in its data centre, then those in its region.
func Homes(dst []inventory.InstanceName, database *Database, entries []Entry, n int) []inventory.InstanceName {
	n = min(n, database.Connections)
	if n <= 0 {
		return dst
	}
	best := make([]candidate, 0, n+1)
	seed := seedOf(database.ID)
	for i := range entries {
		entry := &entries[i]
		far := distanceOf(database, entry)
		if len(best) == n && far > best[n-1].distance {
			continue
		}
		c := candidate{name: entry.Name, distance: far, score: score(seed, entry.Name)}
		at, _ := slices.BinarySearchFunc(best, c, candidate.compare)
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), n)]
	}
	for _, c := range best {
		dst = append(dst, c.name)
	}
	return dst
}
