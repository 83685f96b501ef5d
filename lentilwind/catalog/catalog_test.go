package catalog_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const document = `{"regions": [{"name": "andina", "dataCentres": ["raquira"]}]} // %d` + "\n"

func apply(s **catalog.State, command catalog.Command) catalog.Result {
	next, result := (*s).Apply((*s).Index()+1, command)
	*s = next
	return result
}

func change(operation string, base, text int) catalog.Command {
	return catalog.Command{ApplyInventory: &catalog.ApplyInventory{
		Operation: protocol.OperationID(operation),
		Base:      inventory.Revision(base),
		Document:  fmt.Sprintf(document, text),
		Accepted:  time.Unix(int64(text), 0).UTC(),
	}}
}

func TestConcurrentInventoriesWithSameBaseAcceptOne(t *testing.T) {
	state := &catalog.State{}
	first := apply(&state, change("a", 0, 1))
	second := apply(&state, change("b", 0, 2))
	apply(&state, change("c", 1, 3))
	if first.Outcome != catalog.OutcomeAccepted || second.Outcome != catalog.OutcomeConflict {
		t.Fatalf("got %+v and %+v", first, second)
	}
	if diff := cmp.Diff(first.Record, second.Record); diff != "" {
		t.Errorf("the conflict names another inventory than the accepted one: %s", diff)
	}
	if diff := cmp.Diff(first, apply(&state, change("a", 0, 1))); diff != "" {
		t.Errorf("a resend of the accepted operation got another result: %s", diff)
	}
	if diff := cmp.Diff(second, apply(&state, change("b", 0, 2))); diff != "" {
		t.Errorf("a resend of the conflicting operation got another result: %s", diff)
	}
	if reused := apply(&state, change("a", 2, 9)); reused.Outcome != catalog.OutcomeInvalid {
		t.Errorf("a reused operation id got %+v", reused)
	}
	if state.Revision() != 2 {
		t.Errorf("revision %d, want 2", state.Revision())
	}
}

func TestSetGroupIsCompareAndSet(t *testing.T) {
	id := group.ID{Service: "s", Slot: 1}
	set := func(expect, term group.Term, primary group.Server) catalog.Command {
		return catalog.Command{SetGroup: &catalog.SetGroup{
			ExpectedTerm: expect, Configuration: group.Configuration{Group: id, Term: term, Primary: primary},
		}}
	}
	steps := []struct {
		command catalog.Command
		want    catalog.Outcome
	}{
		{set(0, 1, ""), catalog.OutcomeAccepted},
		{set(1, 1, "a"), catalog.OutcomeAccepted},
		{set(0, 1, "a"), catalog.OutcomeAccepted},
		{set(1, 1, "b"), catalog.OutcomeConflict},
		{set(0, 2, ""), catalog.OutcomeConflict},
		{set(1, 3, ""), catalog.OutcomeAccepted},
		{set(3, 2, "a"), catalog.OutcomeConflict},
		{set(3, 3, "b"), catalog.OutcomeAccepted},
		{set(3, 3, ""), catalog.OutcomeConflict},
	}
	state := &catalog.State{}
	for i, step := range steps {
		if got := apply(&state, step.command); got.Outcome != step.want {
			t.Errorf("step %d: got %+v, want %s", i, got, step.want)
		}
	}
	if got := state.Group(id); got.Primary != "b" || got.Term != 3 {
		t.Errorf("got %+v", got)
	}
}

func TestRestoreReturnsSnapshottedState(t *testing.T) {
	state := &catalog.State{}
	apply(&state, change("a", 0, 1))
	apply(&state, change("b", 0, 2))
	apply(&state, catalog.Command{RecordFailure: &catalog.RecordFailure{Servers: []group.Server{"y", "x", "y"}, At: time.Unix(5, 0)}})
	apply(&state, catalog.Command{SetGroup: &catalog.SetGroup{
		Configuration: group.Configuration{Term: 1, Primary: "p"}, Address: "127.0.0.1:1",
	}})
	apply(&state, catalog.Command{SetGroup: &catalog.SetGroup{ExpectedTerm: 1, Configuration: group.Configuration{Term: 2}}})
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := catalog.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Errorf("the snapshot of the restored state differs: %v", err)
	}
	if restored.JointFailures("x", "y") != 1 || restored.Failures("x") != 1 || restored.Inventory() == nil {
		t.Errorf("the restored state lacks failures or the inventory")
	}
	if address := restored.PrimaryAddress(group.ID{}); address != "127.0.0.1:1" {
		t.Errorf("the previous primary's address is %q", address)
	}
	first := apply(&state, change("b", 0, 2))
	second := apply(&restored, change("b", 0, 2))
	if diff := cmp.Diff(first.Record.Revision, second.Record.Revision); diff != "" || second.Outcome != catalog.OutcomeConflict {
		t.Errorf("a resend after the restore got %+v", second)
	}
}
