package pool

import (
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// writeKey identifies the slot and term of a write transaction.
type writeKey struct {
	slot group.Slot
	term group.Term
}

// trackTransaction marks the connection as active and counts a write transaction until the connection is released.
func (p *Pool) trackTransaction(conn *Conn, scope Scope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[conn] = struct{}{}
	if scope.Access != inventory.AccessWrite {
		return
	}
	conn.writeKey = writeKey{slot: scope.Slot, term: scope.Term}
	p.writes[conn.writeKey]++
}

// untrackTransaction reverses trackTransaction. The caller must hold p.mu.
func (p *Pool) untrackTransaction(conn *Conn) {
	delete(p.active, conn)
	if conn == nil || conn.writeKey == (writeKey{}) {
		return
	}
	if p.writes[conn.writeKey]--; p.writes[conn.writeKey] <= 0 {
		delete(p.writes, conn.writeKey)
	}
	conn.writeKey = writeKey{}
}

// EachRunningWrite calls fn for each slot and term that has running write transactions.
func (p *Pool) EachRunningWrite(fn func(id group.ID, term group.Term)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.writes {
		fn(group.ID{Service: p.service, Slot: key.slot}, key.term)
	}
}
