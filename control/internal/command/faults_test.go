package command_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/control/internal/command"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/lease"
	"lentilwind.dev/lentilwind/protocol"
)

// memberState returns the state of one process as the leader reports it.
func (f *fleet) memberState(i int) protocol.MemberState {
	f.t.Helper()
	for _, m := range f.status().Members {
		if m.Name == f.name(i) {
			return m
		}
	}
	return protocol.MemberState{}
}

// awaitFollower waits until a process is a voter and has all committed entries.
func (f *fleet) awaitFollower(i int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%s to follow", f.name(i)), func() bool {
		m := f.memberState(i)
		return m.Role != protocol.MemberLearner && m.Name != "" && m.Matched >= f.status().Committed
	})
}

func (f *fleet) mustApply(operation string, base inventory.Revision, number int) {
	f.t.Helper()
	record, err := f.apply(operation, base, document(number))
	if err != nil || record.Revision != base+1 {
		f.t.Fatalf("apply %s on %d: got %+v, %v", operation, base, record, err)
	}
}

func TestKilledLeadersLoseNoAcceptedInventory(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	for round := range 5 {
		operation, base := fmt.Sprint("op-", round), inventory.Revision(round)
		f.mustApply(operation, base, round)
		leader := f.leader()
		f.kill(leader)
		f.mustApply(operation, base, round)
		f.start(leader)
		f.awaitFollower(leader)
	}
	var history []protocol.InventoryRecord
	if _, err := f.callLeader(http.MethodGet, "/v1/inventory/history", nil, &history); err != nil || len(history) != 5 {
		t.Errorf("got %+v, %v", history, err)
	}
}

func TestResumedLeaderServesNoStaleState(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	f.mustApply("a", 0, 1)
	entry := f.endpoint("entry-1")
	oldLeader := f.leader()
	f.signal(oldLeader, syscall.SIGSTOP)
	paused := f.running[oldLeader]
	delete(f.running, oldLeader)
	f.mustApply("b", 1, 2)
	f.running[oldLeader] = paused
	f.signal(oldLeader, syscall.SIGCONT)
	for range 50 {
		var record protocol.InventoryRecord
		if err := f.call(oldLeader, http.MethodGet, "/v1/inventory", nil, &record); err == nil && record.Revision < 2 {
			t.Fatalf("the resumed leader answered with revision %d", record.Revision)
		}
		if reply, err := f.renew(entry, oldLeader, "entry-1", 0, 0); err == nil && reply.Revision < 2 {
			t.Fatalf("the resumed leader granted a lease on revision %d", reply.Revision)
		}
	}
	f.awaitFollower(oldLeader)
}

func TestIsolatedLeaderServesNoRequests(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	f.mustApply("a", 0, 1)
	oldLeader := f.leader()
	f.isolate(oldLeader)
	isolated := f.running[oldLeader]
	delete(f.running, oldLeader)
	f.mustApply("b", 1, 2)
	if err := f.call(oldLeader, http.MethodGet, "/v1/inventory", nil, &protocol.InventoryRecord{}); errorCode(err) != protocol.ErrorNotLeader {
		t.Errorf("the isolated leader answered %v", err)
	}
	change := protocol.ApplyInventory{Operation: "c", Base: 1, Document: document(3)}
	if err := f.call(oldLeader, http.MethodPost, "/v1/inventory", change, &protocol.InventoryRecord{}); err == nil {
		t.Error("the isolated leader accepted an inventory")
	}
	f.running[oldLeader] = isolated
	f.network.Heal()
	f.awaitFollower(oldLeader)
	if got := f.status().Revision; got != 2 {
		t.Errorf("revision %d, want 2", got)
	}
}

func TestEmptiedMemberIsReplacedAndSecondLossIsTolerated(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	for i := range 200 {
		f.mustApply(fmt.Sprint("op-", i), inventory.Revision(i), i)
	}
	emptied := f.leader()%3 + 1
	f.kill(emptied)
	if err := os.RemoveAll(filepath.Join(f.dir, string(f.name(emptied)))); err != nil {
		t.Fatal(err)
	}
	if _, err := f.callLeader(http.MethodPost, "/v1/snapshot", nil, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	f.start(emptied)
	f.await("the emptied process to wait for being added", func() bool { return f.readyStatus(emptied) == http.StatusServiceUnavailable })
	change := struct {
		Action  string                 `json:"action"`
		Name    inventory.InstanceName `json:"name"`
		Address string                 `json:"address"`
		Replace inventory.InstanceName `json:"replace"`
	}{"replace", f.name(emptied), f.address(emptied, 7102), f.name(emptied)}
	if _, err := f.callLeader(http.MethodPost, "/v1/members", change, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	f.awaitFollower(emptied)
	f.await("the removal of the former member", func() bool { return len(f.status().Members) == 3 })
	f.kill(f.leader())
	f.mustApply("after", 200, 201)
	f.await("the replaced process to be ready", func() bool { return f.readyStatus(emptied) == http.StatusOK })
}

func (f *fleet) readyStatus(i int) int {
	response, err := http.Get("http://" + f.address(i, 7301) + "/readyz")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func TestLaggingMemberCatchesUpFromSnapshot(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	f.mustApply("first", 0, 0)
	lagging := f.leader()%3 + 1
	f.kill(lagging)
	for i := 1; i <= 300; i++ {
		f.mustApply(fmt.Sprint("op-", i), inventory.Revision(i), i)
	}
	if _, err := f.callLeader(http.MethodPost, "/v1/snapshot", nil, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	f.start(lagging)
	f.awaitFollower(lagging)
	f.kill(f.leader())
	f.mustApply("last", 301, 302)
}

func TestPlannedStopsKeepEveryLease(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	f.mustApply("a", 0, 1)
	f.awaitFollower(1)
	f.awaitFollower(2)
	f.awaitFollower(3)
	entry := f.endpoint("entry-1")
	var holder lease.Holder
	renewed := func() bool {
		for i := range f.running {
			asked := time.Now()
			reply, err := f.renew(entry, i, "entry-1", holder.Revision(), 0)
			if err == nil && holder.Extend(asked, reply.LeaseDuration, reply.Revision) {
				return true
			}
		}
		return false
	}
	f.await("the first lease", renewed)
	for range 3 {
		stopped := f.leader()
		f.stop(stopped)
		f.await("a lease of the next leader", renewed)
		if !holder.Valid(time.Now()) {
			t.Error("the lease expired during a planned stop")
		}
		f.start(stopped)
		f.awaitFollower(stopped)
	}
}

func TestDamagedJournalIsRefusedAndSnapshotRestored(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	f.mustApply("a", 0, 1)
	f.mustApply("b", 1, 2)
	var saved []byte
	if _, err := f.callLeader(http.MethodGet, "/v1/snapshot", nil, &saved); err != nil {
		t.Fatal(err)
	}
	f.mustApply("c", 2, 3)
	f.kill(1)
	dataFolder := filepath.Join(f.dir, string(f.name(1)))
	journals, err := filepath.Glob(filepath.Join(dataFolder, "journal-*"))
	if err != nil || len(journals) != 1 {
		t.Fatalf("got %v, %v", journals, err)
	}
	data, err := os.ReadFile(journals[0])
	if err != nil {
		t.Fatal(err)
	}
	data[20] ^= 1
	if err := os.WriteFile(journals[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	settingsFile := filepath.Join(f.dir, string(f.name(1))+".jsonc")
	if got := execute(t, "run", "--settings", settingsFile); got != 3 {
		t.Errorf("exit code %d over a damaged journal, want 3", got)
	}
	snapshotFile := filepath.Join(f.dir, "saved")
	if err := os.WriteFile(snapshotFile, saved, 0o600); err != nil {
		t.Fatal(err)
	}
	restore := []string{"restore", "--settings", settingsFile, "--snapshot", snapshotFile}
	if got := execute(t, restore...); got == 0 {
		t.Error("a data folder in use was overwritten")
	}
	if err := os.RemoveAll(dataFolder); err != nil {
		t.Fatal(err)
	}
	if got := execute(t, restore...); got != 0 {
		t.Fatalf("restore ended with %d", got)
	}
	f.start(1)
	var record protocol.InventoryRecord
	if _, err := f.callLeader(http.MethodGet, "/v1/inventory", nil, &record); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(document(2), record.Document); diff != "" {
		t.Error(diff)
	}
	if record.Revision <= 3 {
		t.Errorf("revision %d was assigned to another document before", record.Revision)
	}
	f.mustApply("after", record.Revision, 4)
}

func execute(t *testing.T, args ...string) int {
	t.Helper()
	code := command.Execute(args, t.Output(), t.Output())
	return code
}
