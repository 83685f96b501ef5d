package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// An entry that applies deltas from any version that it had holds the same roster as one that gets all of it.
func TestDeltasLeadToTheCompleteRoster(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		var log fleet.ChangeLog
		full := fleet.Roster{Version: fleet.RosterVersion{Term: 4, Number: 1}}
		held := full
		for range 300 {
			full = changeRoster(random, &log, full)
			if random.IntN(3) > 0 {
				continue
			}
			delta, ok := log.Delta(held.Version, full)
			if !ok {
				t.Fatalf("seed %d: no delta from %v", seed, held.Version)
			}
			if held, ok = held.Apply(delta); !ok {
				t.Fatalf("seed %d: the delta does not fit", seed)
			}
			if diff := cmp.Diff(full, held, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("seed %d: %s", seed, diff)
			}
		}
	}
}

// changeRoster changes, adds or removes one server or entry.
func changeRoster(random *rand.Rand, log *fleet.ChangeLog, full fleet.Roster) fleet.Roster {
	full.Version.Number++
	delta := fleet.Roster{Version: full.Version, Base: fleet.RosterVersion{Term: 4, Number: full.Version.Number - 1}}
	before := full
	before.Version.Number--
	if n := random.IntN(20); random.IntN(2) == 0 {
		s := fleet.Server{Name: group.Server(fmt.Sprintf("s%02d", n)), Sequence: random.Uint64()}
		log.RecordServer(full.Version.Number, s.Name)
		if delta.Servers = []fleet.Server{s}; random.IntN(3) == 0 {
			delta.Servers, delta.RemovedServers = nil, []group.Server{s.Name}
		}
	} else {
		e := fleet.Entry{Name: inventory.InstanceName(fmt.Sprintf("e%02d", n)), Leaving: random.IntN(2) == 0}
		log.RecordEntry(full.Version.Number, e.Name)
		if delta.Entries = []fleet.Entry{e}; random.IntN(3) == 0 {
			delta.Entries, delta.RemovedEntries = nil, []inventory.InstanceName{e.Name}
		}
	}
	next, _ := before.Apply(delta)
	return next
}

func TestDeltaOfAnotherVersionIsNotApplied(t *testing.T) {
	held := fleet.Roster{Version: fleet.RosterVersion{Term: 4, Number: 7}, Servers: []fleet.Server{{Name: "a"}}}
	for _, base := range []fleet.RosterVersion{{Term: 4, Number: 6}, {Term: 4, Number: 8}, {Term: 3, Number: 7}} {
		got, ok := held.Apply(fleet.Roster{Version: fleet.RosterVersion{Term: 4, Number: 9}, Base: base, RemovedServers: []group.Server{"a"}})
		if ok || len(got.Servers) != 1 {
			t.Errorf("a delta from %v was applied to %v", base, held.Version)
		}
	}
}

func TestForgottenChangesMakeNoDelta(t *testing.T) {
	var log fleet.ChangeLog
	for number := uint64(2); number < 3000; number++ {
		log.RecordServer(number, "a")
	}
	full := fleet.Roster{Version: fleet.RosterVersion{Term: 1, Number: 2999}}
	if _, ok := log.Delta(fleet.RosterVersion{Term: 1, Number: 5}, full); ok {
		t.Error("a delta was made from changes that are not held any more")
	}
	if _, ok := log.Delta(fleet.RosterVersion{Term: 1, Number: 2990}, full); !ok {
		t.Error("no delta was made from the latest changes")
	}
	if _, ok := log.Delta(fleet.RosterVersion{}, full); ok {
		t.Error("an entry without a roster got a delta")
	}
}

// Restarts of 38 of 94 entries, as in a roll of a large fleet: what control sends to the others.
func TestRestartsOfManyEntriesSendLittle(t *testing.T) {
	const entries, restarts, maxBytesPerChange = 94, 38, 250
	full := fleet.Roster{Version: fleet.RosterVersion{Term: 1, Number: 1}}
	for i := range 60 {
		full.Servers = append(full.Servers, fleet.Server{Name: group.Server(fmt.Sprintf("i-%08x", i)), Service: "huvo11a", Address: "10.128.0.9:8080", Slots: 3})
	}
	for i := range entries {
		full.Entries = append(full.Entries, fleet.Entry{Name: inventory.InstanceName(fmt.Sprintf("front-raquira-%d", i)), Address: "10.1.0.26:7560"})
	}
	var log fleet.ChangeLog
	total := 0
	for i := range restarts {
		base := full.Version
		full.Version.Number++
		log.RecordEntry(full.Version.Number, full.Entries[i].Name)
		delta, _ := log.Delta(base, full)
		body, err := protocol.Encode(delta)
		if err != nil {
			t.Fatal(err)
		}
		total += len(body)
	}
	if total > restarts*maxBytesPerChange {
		t.Errorf("%d restarts send %d bytes to each entry", restarts, total)
	}
}
