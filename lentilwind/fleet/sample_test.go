package fleet_test

import (
	"fmt"
	"testing"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Each server is reported once in as many renewals as there are rounds, and small fleets report all of them always.
func TestSampledReportsCoverEveryServer(t *testing.T) {
	var reports []fleet.ServerReport
	for i := range 20 {
		reports = append(reports, fleet.ServerReport{Server: group.Server(fmt.Sprintf("i-%04x", i))})
	}
	for _, c := range []struct{ entries, rounds int }{{3, 1}, {24, 1}, {25, 2}, {94, 4}, {610, 26}} {
		seen, sent := make(map[group.Server]int), 0
		for renewal := range c.rounds {
			due := fleet.SampleReports("front-1", reports, c.entries, uint64(renewal))
			sent += len(due)
			for _, r := range due {
				seen[r.Server]++
			}
		}
		if len(seen) != len(reports) || sent != len(reports) {
			t.Errorf("%d entries: %d servers in %d reports over %d renewals, want each once", c.entries, len(seen), sent, c.rounds)
		}
	}
}

// The entries of a cut-off data centre that renew in step report each primary within any 400 ms, which is two renewals.
func TestSampledReportsOfADataCentreAreSpread(t *testing.T) {
	const entries, dataCentres, servers = 94, 6, 20
	for round := range uint64(8) {
		seen := make(map[group.Server]bool)
		for renewal := round; renewal < round+2; renewal++ {
			for e := range entries / dataCentres {
				var reports []fleet.ServerReport
				for i := range servers {
					reports = append(reports, fleet.ServerReport{Server: group.Server(fmt.Sprintf("i-%04x", i))})
				}
				name := inventory.InstanceName(fmt.Sprintf("front-raquira-%d", e))
				for _, r := range fleet.SampleReports(name, reports, entries, renewal) {
					seen[r.Server] = true
				}
			}
		}
		if len(seen) < servers {
			t.Errorf("in renewals %d and %d, %d of %d servers were reported", round, round+1, len(seen), servers)
		}
	}
}
