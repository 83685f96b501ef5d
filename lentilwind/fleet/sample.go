package fleet

import (
	"hash/fnv"

	"lentilwind.dev/lentilwind/inventory"
)

// entriesPerReport is how many entries of a fleet suffice to report each server in each round of renewals. A data centre with a seventh of the
// fleet then still reports each of its primaries within two rounds.
const entriesPerReport = 24

// SampleReports returns the part of an entry's reports that is due in one of its renewals.
//
// It answers the load of a large fleet, in which every entry reports the same healthy primaries five times a second, although control needs
// one recent contact of each. The names of the entries decide which of them report a server in the same round. In a fleet of up to entriesPerReport entries everything is reported.
func SampleReports(entry inventory.InstanceName, reports []ServerReport, entries int, renewal uint64) []ServerReport {
	rounds := uint64(max(1, (entries+entriesPerReport-1)/entriesPerReport))
	if rounds == 1 {
		return reports
	}
	var due []ServerReport
	for _, r := range reports {
		h := fnv.New32a()
		_, _ = h.Write([]byte(r.Server)) // A hash never fails.
		_, _ = h.Write([]byte(entry))
		if (uint64(h.Sum32())+renewal)%rounds == 0 {
			due = append(due, r)
		}
	}
	return due
}
