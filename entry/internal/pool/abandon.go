package pool

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// abandonGrace is how long a write may go on in a term that has ended; a planned handover lets it run to its end.
const abandonGrace = 4 * time.Second

// aLongTimeAgo is a deadline that ends reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// TermState tells what an entry knows of the terms in which transactions write.
type TermState interface {
	// TermEnded tells that a newer term of the group has begun.
	TermEnded(id group.ID, term group.Term) bool
	// ServerLost tells that nobody hears from a server any more.
	ServerLost(server group.Server) bool
}

// AbandonStaleWrites gives up answers to writes of terms that have ended: at once on lost servers, else after a grace.
//
// Such an answer can never be confirmed, so that its caller need not wait for it.
func (s *Set) AbandonStaleWrites(now time.Time, ended TermState) {
	s.Each(func(server group.Server, p *Pool) { p.abandon(now, ended, ended.ServerLost(server)) })
}

func (p *Pool) abandon(now time.Time, ended TermState, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.endedAt {
		if p.writes[key] == 0 {
			delete(p.endedAt, key)
		}
	}
	for key := range p.writes {
		if !ended.TermEnded(group.ID{Service: p.service, Slot: key.slot}, key.term) {
			continue
		}
		if p.endedAt[key].IsZero() {
			p.endedAt[key] = now
		}
		if lost || now.Sub(p.endedAt[key]) >= abandonGrace {
			p.giveUp(key)
		}
	}
}

// giveUp ends the waits for answers of a slot and term; p.mu is held.
func (p *Pool) giveUp(key writeKey) {
	for conn := range p.active {
		if conn.writing == key {
			conn.abandoned.Store(true)
			_ = conn.Conn.SetDeadline(aLongTimeAgo)
		}
	}
}

// SetDeadline bounds reads and writes, unless the answer has been given up.
func (c *Conn) SetDeadline(t time.Time) error {
	err := c.Conn.SetDeadline(t)
	if c.abandoned.Load() {
		return c.Conn.SetDeadline(aLongTimeAgo)
	}
	return err
}
