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
