package pool

import (
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// writeKey is a slot with the term under which it is written to.
type writeKey struct {
	slot group.Slot
	term group.Term
}

// begin counts a transaction until its connection is released.
func (p *Pool) begin(conn *Conn, scope Scope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[conn] = struct{}{}
	if scope.Access != inventory.AccessWrite {
		return
	}
	conn.writing = writeKey{slot: scope.Slot, term: scope.Term}
	p.writes[conn.writing]++
}

// end takes a transaction out of the count; p.mu is held.
func (p *Pool) end(conn *Conn) {
	delete(p.active, conn)
	if conn == nil || conn.writing == (writeKey{}) {
		return
	}
	if p.writes[conn.writing]--; p.writes[conn.writing] <= 0 {
		delete(p.writes, conn.writing)
	}
	conn.writing = writeKey{}
}

// EachRunningWrite calls a function for each slot and term with running write transactions.
func (p *Pool) EachRunningWrite(yield func(id group.ID, term group.Term)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.writes {
		yield(group.ID{Service: p.service, Slot: key.slot}, key.term)
	}
}
