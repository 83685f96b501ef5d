package coordinator_test

import (
	"testing"
	"time"
)

// busyCrash lets the primary crash when b alone has its last acknowledged commits, and has not applied them.
func busyCrash(t *testing.T, stuck bool) *databaseGroup {
	t.Helper()
	g := newDatabaseGroup("a", "b", "c")
	startControl(t, g, t.TempDir())
	g.mustCommit(t, "w1")
	g.update("c", func(c *memoryDatabase) { c.deaf = true })
	g.mustCommit(t, "w2")
	g.update("b", func(b *memoryDatabase) { b.busy, b.stuck, b.unapplied = true, stuck, 2 })
	g.update("a", func(a *memoryDatabase) { a.down = true })
	return g
}

// Guards against acknowledged commits that are lost because a replica too busy to report the end of its log is judged by what it has applied.
func TestBusyReplicaIsNotJudgedByItsAppliedPosition(t *testing.T) {
	busyCrash(t, false).awaitPromotion(t, "b")
}

// Guards against the same when the busy replica reports the end of its log to no statement at all: until it does, or has applied what
// another one has received, nobody is promoted.
func TestNobodyIsPromotedOverALogOfUnknownEnd(t *testing.T) {
	g := busyCrash(t, true)
	time.Sleep(time.Second)
	g.mu.Lock()
	promoted := len(g.promotions)
	g.mu.Unlock()
	if promoted > 0 {
		t.Errorf("%d promotions while the end of a log was not known", promoted)
	}
	g.update("b", func(b *memoryDatabase) { b.unapplied = 0 })
	g.awaitPromotion(t, "b")
}

// lateOrderDelay is longer than control waits for the answer to an order.
const lateOrderDelay = 600 * time.Millisecond

// Guards against acknowledged commits that are lost because a leaving primary goes on confirming them with another replica than the one that
// was ordered to lead, while the platform is slow.
func TestLateOrderKeepsTheCommitsOfALeavingPrimary(t *testing.T) {
	for name, noSuspend := range map[string]bool{"replicas can be suspended": false, "replicas can't be suspended": true} {
		t.Run(name, func(t *testing.T) {
			g := newDatabaseGroup("a", "b", "c")
			g.orderDelay, g.noSuspend = lateOrderDelay, noSuspend
			startControl(t, g, t.TempDir())
			stop := g.startCommitting(t)
			g.update("a", func(a *memoryDatabase) { a.leaving = true })
			ordered := g.awaitOrder(t)
			if n := g.acknowledgedWithin(lateOrderDelay / 4); n == 0 && !noSuspend {
				t.Error("a primary that leaves acknowledged nothing while an order was outstanding")
			}
			g.update(ordered, func(d *memoryDatabase) { d.deaf = true })
			g.awaitPromotion(t, ordered)
			stop()
			eventually(t, "the replicas receive again", func() bool { return !g.anySuspended() })
		})
	}
}

// Guards against the same when a primary that was taken for failed comes back while an order is outstanding.
func TestLateOrderKeepsTheCommitsOfAReturnedPrimary(t *testing.T) {
	g := newDatabaseGroup("a", "b", "c")
	g.orderDelay = lateOrderDelay
	startControl(t, g, t.TempDir())
	g.update("a", func(a *memoryDatabase) { a.hidden = true })
	ordered := g.awaitOrder(t)
	g.update(ordered, func(d *memoryDatabase) { d.deaf = true })
	g.update("a", func(a *memoryDatabase) { a.hidden = false })
	stop := g.startCommitting(t)
	g.awaitPromotion(t, ordered)
	stop()
}

// Guards against the same when the replicas can't be suspended: control decided that the primary is silent before it came back.
func TestPrimaryThatAnswersAgainIsStoppedBeforeTheOrder(t *testing.T) {
	g := newDatabaseGroup("a", "b", "c")
	g.orderDelay, g.noSuspend, g.returnsWhenAsked = lateOrderDelay, true, "a"
	startControl(t, g, t.TempDir())
	g.update("a", func(a *memoryDatabase) { a.hidden = true })
	ordered := g.awaitOrder(t)
	g.update(ordered, func(d *memoryDatabase) { d.deaf = true })
	stop := g.startCommitting(t)
	g.awaitPromotion(t, ordered)
	stop()
}

// Guards against a primary that can't commit any more because its replicas were stopped for an order that the platform has refused.
func TestReplicasReceiveAgainAfterARefusedOrder(t *testing.T) {
	g := newDatabaseGroup("a", "b", "c")
	g.refuse = true
	startControl(t, g, t.TempDir())
	g.update("a", func(a *memoryDatabase) { a.hidden = true })
	g.awaitOrder(t)
	g.update("a", func(a *memoryDatabase) { a.hidden = false })
	eventually(t, "the replicas receive again", func() bool { return !g.anySuspended() })
	g.mustCommit(t, "w1")
}

// Guards against replicas that stay stopped because the control process that stopped them was lost.
func TestNewLeaderLetsSuspendedReplicasReceive(t *testing.T) {
	g := newDatabaseGroup("a", "b", "c")
	g.update("b", func(b *memoryDatabase) { b.suspended = 4 })
	startControl(t, g, t.TempDir())
	eventually(t, "the replicas receive again", func() bool { return !g.anySuspended() })
}

// Guards against a new leader that orders another server while an order of its predecessor may still be carried out.
func TestNewLeaderRepeatsAnOutstandingOrder(t *testing.T) {
	g := newDatabaseGroup("a", "b", "c")
	g.orderDelay = 4 * lateOrderDelay
	dir := t.TempDir()
	stopControl := startControl(t, g, dir)
	g.update("a", func(a *memoryDatabase) { a.leaving = true })
	ordered := g.awaitOrder(t)
	stopControl()
	g.update(ordered, func(d *memoryDatabase) { d.deaf = true })
	stop := g.startCommitting(t)
	time.Sleep(announceInterval)
	startControl(t, g, dir)
	g.awaitPromotion(t, ordered)
	stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, server := range g.orders {
		if server != ordered {
			t.Errorf("%s was ordered while the order for %s was outstanding", server, ordered)
		}
	}
}
