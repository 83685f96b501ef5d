package command_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

const budgetLimit = 20

var budgetServer = group.ServerID{Service: "inventario-1", Server: "a"}

// holder is one entry with its keeper of budgets; it uses all that it may.
type holder struct {
	f        *fleet
	name     string
	endpoint *link.Endpoint
	keeper   *placement.LeaseClient
}

func (f *fleet) holder(name string) *holder {
	return &holder{
		f: f, name: name, endpoint: f.endpoint(name),
		keeper: placement.NewLeaseClient(placement.DefaultSettings(), inventory.InstanceName(name), 1),
	}
}

func (h *holder) hold() int { return h.keeper.Budget(time.Now(), budgetServer).Hold }

// ask sends a request for all connections to each process that runs, and tells whether one has answered.
func (h *holder) ask() bool {
	request := h.keeper.NewRequest(time.Now(), []placement.Usage{{Database: budgetServer, Open: h.hold(), Demand: budgetLimit}})
	for i := range h.f.running {
		var reply placement.Reply
		if h.call(i, request, &reply) == nil {
			return h.keeper.HandleReply(&reply)
		}
	}
	return false
}

func (h *holder) call(i int, request placement.Request, reply *placement.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return h.endpoint.Call(ctx, netip.MustParseAddrPort(h.f.address(i, 7101)), protocol.KindBudget, request, reply)
}

// check fails when more is held than the database allows.
func check(t *testing.T, holders ...*holder) {
	t.Helper()
	sum := 0
	for _, h := range holders {
		sum += h.hold()
	}
	if sum > budgetLimit {
		t.Errorf("%d connections are held of %d", sum, budgetLimit)
	}
}

func TestBudgetsKeepTheLimitOverAChangeOfTheLeader(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	// The first leader leads before the first inventory and grants at once.
	leader := f.leader()
	if _, err := f.apply("first", 0, withDatabases("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	one, two := f.holder("entry-1"), f.holder("entry-2")
	f.await("budgets of both entries", func() bool {
		one.ask()
		check(t, one, two)
		two.ask()
		check(t, one, two)
		return one.hold() > 0 && two.hold() > 0
	})
	f.kill(leader)
	heldByOne, heldByTwo := one.hold(), two.hold()
	f.await("answers of the new leader", func() bool { return one.ask() && two.ask() })
	if one.hold() != heldByOne || two.hold() != heldByTwo {
		t.Errorf("the new leader left %d and %d of %d and %d", one.hold(), two.hold(), heldByOne, heldByTwo)
	}
	check(t, one, two)
	// An entry that the new leader has not heard of may hold something yet, so a newcomer gets nothing.
	three := f.holder("entry-3")
	f.await("an answer to the newcomer", three.ask)
	if three.hold() > 0 {
		t.Errorf("the new leader granted %d connections at once", three.hold())
	}
	check(t, one, two, three)
}

func TestBudgetsAreForEntriesThemselves(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	if _, err := f.apply("first", 0, withDatabases("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	h := f.holder("entry-1")
	request := h.keeper.NewRequest(time.Now(), []placement.Usage{{Database: budgetServer, Demand: 1}})
	var reply placement.Reply
	if err := h.call(1, request, &reply); err != nil || len(reply.Grants) != 1 {
		t.Fatalf("got %+v, %v", reply, err)
	}
	var refusal *protocol.Refusal
	if err := h.call(1, request, &reply); !errors.As(err, &refusal) || refusal.Code != protocol.CodeInvalid {
		t.Errorf("a request that comes twice: %v", err)
	}
	request.Entry, request.ID = "entry-2", request.ID+1
	if err := h.call(1, request, &reply); !errors.As(err, &refusal) || refusal.Code != protocol.CodeInvalid {
		t.Errorf("a request for another entry: %v", err)
	}
}
