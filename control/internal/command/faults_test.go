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

// member returns what the leader says of one process.
func (f *fleet) member(i int) protocol.MemberState {
	f.t.Helper()
	for _, m := range f.status().Members {
		if m.Name == f.name(i) {
			return m
		}
	}
	return protocol.MemberState{}
}

// awaitFollower waits until a process counts and has everything.
func (f *fleet) awaitFollower(i int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%s to follow", f.name(i)), func() bool {
		m := f.member(i)
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

func TestKilledLeadersLoseNothingAccepted(t *testing.T) {
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
	if _, err := f.lead(http.MethodGet, "/v1/inventory/history", nil, &history); err != nil || len(history) != 5 {
		t.Errorf("got %+v, %v", history, err)
	}
}

func TestPausedLeaderComesBackWithNothingOld(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	f.mustApply("a", 0, 1)
	entry := f.endpoint("entry-1")
	old := f.leader()
	f.signal(old, syscall.SIGSTOP)
	paused := f.running[old]
	delete(f.running, old)
	f.mustApply("b", 1, 2)
	f.running[old] = paused
	f.signal(old, syscall.SIGCONT)
	for range 50 {
		var record protocol.InventoryRecord
		if err := f.call(old, http.MethodGet, "/v1/inventory", nil, &record); err == nil && record.Revision < 2 {
			t.Fatalf("the paused leader answered revision %d", record.Revision)
		}
		if reply, err := f.renew(entry, old, "entry-1", 0, 0); err == nil && reply.Revision < 2 {
			t.Fatalf("the paused leader leased revision %d", reply.Revision)
		}
	}
	f.awaitFollower(old)
}

func TestCutOffLeaderAnswersNothing(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	f.mustApply("a", 0, 1)
	old := f.leader()
	f.isolate(old)
	cutOff := f.running[old]
	delete(f.running, old)
	f.mustApply("b", 1, 2)
	if err := f.call(old, http.MethodGet, "/v1/inventory", nil, &protocol.InventoryRecord{}); code(err) != protocol.ErrorNotLeader {
		t.Errorf("the cut-off leader answered %v", err)
	}
	change := protocol.ApplyInventory{Operation: "c", Base: 1, Document: document(3)}
	if err := f.call(old, http.MethodPost, "/v1/inventory", change, &protocol.InventoryRecord{}); err == nil {
		t.Error("the cut-off leader accepted an inventory")
	}
	f.running[old] = cutOff
	f.network.Heal()
	f.awaitFollower(old)
	if got := f.status().Revision; got != 2 {
		t.Errorf("revision %d, want 2", got)
	}
}

func TestEmptiedMemberIsReplacedAndASecondLossIsBorne(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	for i := range 200 {
		f.mustApply(fmt.Sprint("op-", i), inventory.Revision(i), i)
	}
	lost := f.leader()%3 + 1
	f.kill(lost)
	if err := os.RemoveAll(filepath.Join(f.dir, string(f.name(lost)))); err != nil {
		t.Fatal(err)
	}
	if _, err := f.lead(http.MethodPost, "/v1/snapshot", nil, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	f.start(lost)
	f.await("the emptied process to wait", func() bool { return f.ready(lost) == http.StatusServiceUnavailable })
	change := struct {
		Action  string                 `json:"action"`
		Name    inventory.InstanceName `json:"name"`
		Address string                 `json:"address"`
		Replace inventory.InstanceName `json:"replace"`
	}{"replace", f.name(lost), f.address(lost, 7102), f.name(lost)}
	if _, err := f.lead(http.MethodPost, "/v1/members", change, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	f.awaitFollower(lost)
	f.await("the old member to go", func() bool { return len(f.status().Members) == 3 })
	f.kill(f.leader())
	f.mustApply("after", 200, 201)
	f.await("the repaired process to be ready", func() bool { return f.ready(lost) == http.StatusOK })
}

func (f *fleet) ready(i int) int {
	response, err := http.Get("http://" + f.address(i, 7301) + "/readyz")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func TestMemberThatMissedHundredsOfChangesCatchesUp(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	f.mustApply("first", 0, 0)
	late := f.leader()%3 + 1
	f.kill(late)
	for i := 1; i <= 300; i++ {
		f.mustApply(fmt.Sprint("op-", i), inventory.Revision(i), i)
	}
	if _, err := f.lead(http.MethodPost, "/v1/snapshot", nil, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	f.start(late)
	f.awaitFollower(late)
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
			if err == nil && holder.Extend(asked, reply.LeaseFor, reply.Revision) {
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
			t.Error("the lease was lost over a planned stop")
		}
		f.start(stopped)
		f.awaitFollower(stopped)
	}
}

func TestDamagedJournalIsRefusedAndASnapshotRestored(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	f.mustApply("a", 0, 1)
	f.mustApply("b", 1, 2)
	var saved []byte
	if _, err := f.lead(http.MethodGet, "/v1/snapshot", nil, &saved); err != nil {
		t.Fatal(err)
	}
	f.mustApply("c", 2, 3)
	f.kill(1)
	folder := filepath.Join(f.dir, string(f.name(1)))
	journals, err := filepath.Glob(filepath.Join(folder, "journal-*"))
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
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if got := execute(t, restore...); got != 0 {
		t.Fatalf("restore ended with %d", got)
	}
	f.start(1)
	var record protocol.InventoryRecord
	if _, err := f.lead(http.MethodGet, "/v1/inventory", nil, &record); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(document(2), record.Document); diff != "" {
		t.Error(diff)
	}
	if record.Revision <= 3 {
		t.Errorf("revision %d was given out before to another document", record.Revision)
	}
	f.mustApply("after", record.Revision, 4)
}

func execute(t *testing.T, args ...string) int {
	t.Helper()
	code := command.Execute(args, t.Output(), t.Output())
	return code
}
