package peer

import (
	"container/list"
	"net"
	"sync"
)

// connTable holds the open connections of a server. Those that have sent no whole frame yet stand in the order of their arrival.
type connTable struct {
	mu       sync.Mutex
	unproven list.List
	conns    map[net.Conn]*list.Element
}

// add adds a connection. If that exceeds the limit, the oldest unproven connection is closed. It returns false if there is none.
func (t *connTable) add(conn net.Conn, limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[net.Conn]*list.Element)
	}
	if limit > 0 && len(t.conns) >= limit {
		oldest := t.unproven.Front()
		if oldest == nil {
			return false
		}
		victim := t.unproven.Remove(oldest).(net.Conn)
		delete(t.conns, victim)
		_ = victim.Close()
	}
	t.conns[conn] = t.unproven.PushBack(conn)
	return true
}

// markProven records that a connection has sent a whole frame.
func (t *connTable) markProven(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if element, found := t.conns[conn]; found && element != nil {
		t.unproven.Remove(element)
		t.conns[conn] = nil
	}
}

func (t *connTable) remove(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if element, found := t.conns[conn]; found {
		if element != nil {
			t.unproven.Remove(element)
		}
		delete(t.conns, conn)
	}
}
