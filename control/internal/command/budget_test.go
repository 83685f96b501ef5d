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

// budgetClient is an entry that always demands the whole connection limit.
type budgetClient struct {
	f        *fleet
	name     string
	endpoint *link.Endpoint
	leases   *placement.LeaseClient
}

func (f *fleet) newBudgetClient(name string) *budgetClient {
	return &budgetClient{
		f: f, name: name, endpoint: f.endpoint(name),
		leases: placement.NewLeaseClient(placement.DefaultSettings(), inventory.InstanceName(name), 1),
	}
}

func (c *budgetClient) held() int { return c.leases.Budget(time.Now(), budgetServer).Hold }

// requestAll requests all connections from each running process until one answers, and reports whether the answer was accepted.
func (c *budgetClient) requestAll() bool {
	request := c.leases.NewRequest(time.Now(), []placement.Usage{{Database: budgetServer, Open: c.held(), Demand: budgetLimit}})
	for i := range c.f.running {
		var reply placement.Reply
		if c.call(i, request, &reply) == nil {
			return c.leases.HandleReply(&reply)
		}
	}
	return false
}

func (c *budgetClient) call(i int, request placement.Request, reply *placement.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.endpoint.Call(ctx, netip.MustParseAddrPort(c.f.address(i, 7101)), protocol.KindBudget, request, reply)
}

// checkLimit fails the test if the clients hold more connections than the database allows.
func checkLimit(t *testing.T, clients ...*budgetClient) {
	t.Helper()
	sum := 0
	for _, c := range clients {
		sum += c.held()
	}
	if sum > budgetLimit {
		t.Errorf("%d connections are held of %d", sum, budgetLimit)
	}
}

func TestBudgetsStayWithinLimitAcrossLeaderChange(t *testing.T) {
	f := newFleet(t, 3)
	f.start(1, 2, 3)
	// The first leader leads before the first inventory and grants at once.
	leader := f.leader()
	if _, err := f.apply("first", 0, documentWithDatabases("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	one, two := f.newBudgetClient("entry-1"), f.newBudgetClient("entry-2")
	f.await("budgets of both entries", func() bool {
		one.requestAll()
		checkLimit(t, one, two)
		two.requestAll()
		checkLimit(t, one, two)
		return one.held() > 0 && two.held() > 0
	})
	f.kill(leader)
	heldByOne, heldByTwo := one.held(), two.held()
	f.await("answers of the new leader", func() bool { return one.requestAll() && two.requestAll() })
	if one.held() != heldByOne || two.held() != heldByTwo {
		t.Errorf("the new leader changed the budgets to %d and %d, want %d and %d", one.held(), two.held(), heldByOne, heldByTwo)
	}
	checkLimit(t, one, two)
	// Entries unknown to the new leader may still hold connections, so a new entry is granted none.
	three := f.newBudgetClient("entry-3")
	f.await("an answer to the new entry", three.requestAll)
	if three.held() > 0 {
		t.Errorf("the new leader granted %d connections at once", three.held())
	}
	checkLimit(t, one, two, three)
}

func TestBudgetRequestsForOtherEntriesAreRefused(t *testing.T) {
	f := newFleet(t, 1)
	f.start(1)
	if _, err := f.apply("first", 0, documentWithDatabases("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	c := f.newBudgetClient("entry-1")
	request := c.leases.NewRequest(time.Now(), []placement.Usage{{Database: budgetServer, Demand: 1}})
	var reply placement.Reply
	if err := c.call(1, request, &reply); err != nil || len(reply.Grants) != 1 {
		t.Fatalf("got %+v, %v", reply, err)
	}
	var refusal *protocol.Refusal
	if err := c.call(1, request, &reply); !errors.As(err, &refusal) || refusal.Code != protocol.CodeInvalid {
		t.Errorf("a request that comes twice: %v", err)
	}
	request.Entry, request.ID = "entry-2", request.ID+1
	if err := c.call(1, request, &reply); !errors.As(err, &refusal) || refusal.Code != protocol.CodeInvalid {
		t.Errorf("a request for another entry: %v", err)
	}
}
