package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
)

// heldConnGrace is added to the idle limit of transactions before a held connection is closed.
const heldConnGrace = time.Second

// heldConn is a connection that an open transaction keeps.
type heldConn struct {
	conn     *pooledConn
	lastUsed time.Time
	inUse    bool
}

// heldConns holds the connections of open transactions, whose sessions may be at this entry or at others.
type heldConns struct {
	mu   sync.Mutex
	byID map[forward.HeldID]*heldConn
}

// heldRefusal is the reason why work on a held connection is refused; empty if it may run.
type heldRefusal string

// Reasons.
const (
	heldUnknown        heldRefusal = "unknown"
	heldOtherWorkspace heldRefusal = "otherWorkspace"
	heldInUse          heldRefusal = "inUse"
)

// add stores a connection and returns its ID.
//
// IDs are random, because other entries still use those of an earlier run of this process: a counter would let them continue in the
// transactions of other clients.
func (h *heldConns) add(conn *pooledConn, now time.Time) forward.HeldID {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := forward.HeldID(0)
	for id == 0 || h.byID[id] != nil {
		id = forward.HeldID(rand.Uint64())
	}
	h.byID[id] = &heldConn{conn: conn, lastUsed: now}
	return id
}

// checkOut reserves a connection for one piece of work of the workspace that holds it.
func (h *heldConns) checkOut(id forward.HeldID, workspace inventory.WorkspaceName) (*pooledConn, heldRefusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.byID[id]
	switch {
	case held == nil:
		return nil, heldUnknown
	case held.conn.workspace != workspace:
		return nil, heldOtherWorkspace
	case held.inUse:
		return nil, heldInUse
	}
	held.inUse = true
	return held.conn, ""
}

// checkIn makes a connection available for the next work of its transaction.
func (h *heldConns) checkIn(id forward.HeldID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held := h.byID[id]; held != nil {
		held.inUse, held.lastUsed = false, now
	}
}

func (h *heldConns) remove(id forward.HeldID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, id)
}

// expire removes and returns the connections whose transactions have been idle for longer than the limit.
func (h *heldConns) expire(now time.Time, limit time.Duration) []*pooledConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	var expired []*pooledConn
	for id, held := range h.byID {
		if !held.inUse && now.Sub(held.lastUsed) > limit {
			expired = append(expired, held.conn)
			delete(h.byID, id)
		}
	}
	return expired
}

func (h *heldConns) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byID)
}
