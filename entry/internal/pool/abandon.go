package pool

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// abandonGrace is how long a write may continue after its term has ended. It lets writes complete during a planned handover.
const abandonGrace = 4 * time.Second

// aLongTimeAgo is a past deadline; setting it makes pending reads and writes fail immediately.
var aLongTimeAgo = time.Unix(1, 0)

// TermState reports whether the terms and servers of running writes are still current.
type TermState interface {
	// TermEnded reports whether a newer term of the group has begun.
	TermEnded(id group.ID, term group.Term) bool
	// ServerLost reports whether control no longer receives anything from the server.
	ServerLost(server group.Server) bool
}

// AbandonStaleWrites stops waiting for responses to writes whose term has ended: immediately on lost servers, otherwise after
// abandonGrace.
//
// Such a response can never be confirmed, so the caller need not wait for it.
func (s *Set) AbandonStaleWrites(now time.Time, terms TermState) {
	s.Each(func(server group.Server, p *Pool) { p.abandon(now, terms, terms.ServerLost(server)) })
}

func (p *Pool) abandon(now time.Time, terms TermState, serverLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.endedAt {
		if p.writes[key] == 0 {
			delete(p.endedAt, key)
		}
	}
	for key := range p.writes {
		if !terms.TermEnded(group.ID{Service: p.service, Slot: key.slot}, key.term) {
			continue
		}
		if p.endedAt[key].IsZero() {
			p.endedAt[key] = now
		}
		if serverLost || now.Sub(p.endedAt[key]) >= abandonGrace {
			p.abandonWrites(key)
		}
	}
}

// abandonWrites makes the pending reads and writes of a slot and term fail. The caller must hold p.mu.
func (p *Pool) abandonWrites(key writeKey) {
	for conn := range p.active {
		if conn.writeKey == key {
			conn.abandoned.Store(true)
			_ = conn.Conn.SetDeadline(aLongTimeAgo)
		}
	}
}

// SetDeadline sets the read and write deadline. On an abandoned connection the deadline stays in the past.
func (c *Conn) SetDeadline(t time.Time) error {
	err := c.Conn.SetDeadline(t)
	if c.abandoned.Load() {
		return c.Conn.SetDeadline(aLongTimeAgo)
	}
	return err
}
