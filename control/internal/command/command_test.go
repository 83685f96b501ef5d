package command_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

func errorCode(err error) protocol.ErrorCode {
	var refused *protocol.OperatorError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

func TestSingleProcessKeepsAndLeasesInventory(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	accepted, err := f.apply("first", 0, document(1))
	if err != nil || accepted.Revision != 1 || accepted.Operator != "operator" {
		t.Fatalf("got %+v, %v", accepted, err)
	}
	entry := f.endpoint("entry-1")
	reply, err := f.renew(entry, 1, "entry-1", 0, 0)
	if err != nil || reply.LeaseDuration != 3*time.Second || reply.Revision != 1 || reply.Delta == nil {
		t.Fatalf("got %+v, %v", reply, err)
	}
	if inv := reply.Delta.Apply(nil); len(inv.Workspaces) != 1 {
		t.Errorf("the delta leads to %+v", inv)
	}
	f.stop(1)
	f.start(1)
	resent, err := f.apply("first", 0, document(1))
	if diff := cmp.Diff(accepted, resent); err != nil || diff != "" {
		t.Errorf("a resend after the restart: %v %s", err, diff)
	}
	var record protocol.InventoryRecord
	if _, err := f.callLeader(http.MethodGet, "/v1/inventory", nil, &record); err != nil || record.Document != document(1) {
		t.Errorf("got %+v, %v", record, err)
	}
}

func TestConflictsAndRefusalsAreDistinguished(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	winner, err := f.apply("a", 0, document(1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.apply("b", 0, document(2))
	var conflict *protocol.OperatorError
	if !errors.As(err, &conflict) || conflict.Code != protocol.ErrorConflict {
		t.Fatalf("got %v", err)
	}
	if diff := cmp.Diff(&winner, conflict.Winner); diff != "" {
		t.Error(diff)
	}
	_, err = f.apply("c", 1, `{"regions": [], "colour": 1}`)
	var refused *protocol.OperatorError
	if !errors.As(err, &refused) || refused.Code != protocol.ErrorRefused || refused.Problems[0].Line != 1 || refused.Problems[0].Remedy == "" {
		t.Errorf("got %+v", refused)
	}
	if _, err := f.apply("a", 1, document(3)); errorCode(err) != protocol.ErrorInvalid {
		t.Errorf("a reused operation: %v", err)
	}
	leader := f.status().Leader
	for i := range f.running {
		err := f.call(i, http.MethodGet, "/v1/inventory", nil, &protocol.InventoryRecord{})
		if f.name(i) != leader && errorCode(err) != protocol.ErrorNotLeader {
			t.Errorf("%s answered %v", f.name(i), err)
		}
	}
}

func TestInForceWaitsForEntriesWithLeases(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	if _, err := f.apply("a", 0, document(1)); err != nil {
		t.Fatal(err)
	}
	entry := f.endpoint("entry-1")
	if _, err := f.renew(entry, 1, "entry-1", 0, 0); err != nil {
		t.Fatal(err)
	}
	var answer protocol.InForce
	f.await("the first revision in force", func() bool {
		_, err := f.callLeader(http.MethodGet, "/v1/inventory/in-force?revision=1&waitMs=1000", nil, &answer)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.renew(entry, 1, "entry-1", 1, 0); err != nil {
			t.Fatal(err)
		}
		return answer.InForce
	})
	if _, err := f.apply("b", 1, document(2)); err != nil {
		t.Fatal(err)
	}
	_, err := f.callLeader(http.MethodGet, "/v1/inventory/in-force?revision=2&waitMs=0", nil, &answer)
	if err != nil || answer.InForce || !cmp.Equal(answer.WaitingFor, []inventory.InstanceName{"entry-1"}) {
		t.Errorf("got %+v, %v", answer, err)
	}
	if _, err := f.renew(entry, 1, "entry-1", 2, 0); err != nil {
		t.Fatal(err)
	}
	_, err = f.callLeader(http.MethodGet, "/v1/inventory/in-force?revision=2&waitMs=0", nil, &answer)
	if err != nil || !answer.InForce {
		t.Errorf("got %+v, %v", answer, err)
	}
}

func TestEntryDrawsQuotaFromLeader(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	f.mustApply("a", 0, 9)
	entry := f.endpoint("entry-1")
	draw := func(name inventory.InstanceName) (protocol.DrawReply, error) {
		var reply protocol.DrawReply
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		err := entry.Call(ctx, netip.MustParseAddrPort(f.address(1, 7101)), protocol.KindDraw, protocol.DrawRequest{
			Entry: name, Draws: []protocol.Draw{{Workspace: "w1", Want: 1, Need: 1}},
		}, &reply)
		return reply, err
	}
	f.await("a grant", func() bool {
		reply, err := draw("entry-1")
		return err == nil && len(reply.Grants) == 1 && reply.Grants[0].Granted == 1
	})
	if _, err := draw("entry-2"); err == nil {
		t.Error("an entry drew quota for another entry")
	}
}
