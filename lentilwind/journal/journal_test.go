package journal_test

import (
	"flag"
	"slices"
	"testing"

	"lentilwind.dev/lentilwind/journal"
)

var (
	seedFlag      = flag.Uint64("seed", 0, "run the schedule of this seed only")
	schedulesFlag = flag.Uint64("schedules", 1200, "number of schedules to run")
)

const (
	stepsPerSchedule = 4000
	noAgreement      = "no agreement after all faults had ended"
	// maxFaultSchedules limits the search for an injected fault.
	maxFaultSchedules = 3_000
)

func TestSafetyUnderRandomSchedules(t *testing.T) {
	first, last := uint64(1), *schedulesFlag
	if *seedFlag != 0 {
		first, last = *seedFlag, *seedFlag
	}
	totals := map[string]int{}
	for seed := first; seed <= last; seed++ {
		s := newSimulation(seed, "", 3+2*int(seed%2))
		if failure := s.run(); failure != "" {
			t.Fatalf("%s; replay with -run %s -seed %d", failure, t.Name(), seed)
		}
		for event, n := range s.eventCounts {
			totals[event] += n
		}
	}
	t.Logf("%d schedules: %v", last-first+1, totals)
	for _, event := range []string{"leases", "restores", "leaders", "crashes", "command", "membership"} {
		if totals[event] == 0 && first != last {
			t.Errorf("no schedule contained the event %q", event)
		}
	}
}

func TestChecksDetectInjectedFaults(t *testing.T) {
	for _, fault := range append(slices.Clone(journal.Faults), "reusedMemberID") {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= maxFaultSchedules; seed++ {
				s := newSimulation(seed, fault, 3+2*int(seed%2))
				s.reuseMemberID = fault == "reusedMemberID"
				if failure := s.run(); failure != "" && failure != noAgreement {
					t.Logf("schedule %d: %s", seed, failure)
					return
				}
			}
			t.Errorf("%d schedules did not detect the fault", maxFaultSchedules)
		})
	}
}
