package database

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/bench/internal/wal"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// run is one life of a server, from its start to its stop or crash.
type run struct {
	server      *Server
	listener    net.Listener
	wal         *wal.Log
	members     []*member.Member
	incarnation protocol.Incarnation
	conns       *connSet
	sessions    sync.Map
	counted     atomic.Int64
	monitors    atomic.Int64
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

func newRun(s *Server, listener net.Listener, file wal.File, incarnation protocol.Incarnation) (*run, error) {
	log, entries, err := wal.Open(file)
	if err != nil {
		return nil, err
	}
	r := &run{server: s, listener: listener, wal: log, incarnation: incarnation, conns: newConnSet()}
	r.ctx, r.cancel = background()
	bySlot := make([][][]byte, s.cfg.Slots)
	for _, data := range entries {
		slot, err := member.EntrySlot(data)
		if err != nil || int(slot) >= len(bySlot) {
			return nil, fmt.Errorf("database: an entry of slot %d cannot be read (%w)", slot, err)
		}
		bySlot[slot] = append(bySlot[slot], data)
	}
	for i := range s.cfg.Slots {
		m, err := member.New(group.Slot(i), log, bySlot[i], s.initial(i))
		if err != nil {
			return nil, err
		}
		r.members = append(r.members, m)
	}
	return r, nil
}

// initial returns the configuration of a slot in the first term.
func (s *Server) initial(slot int) member.InitialConfig {
	primary := s.cfg.Primaries[slot]
	return member.InitialConfig{Primary: primary == s.cfg.Server, Address: s.cfg.Peers[primary]}
}

func (r *run) start() {
	r.wg.Go(r.accept)
	for _, m := range r.members {
		r.wg.Go(func() { r.apply(m) })
		r.wg.Go(func() { r.follow(m) })
	}
	if len(r.server.cfg.Announce) > 0 {
		r.wg.Go(r.announce)
	}
}

// stop closes the log before the connections, so that nothing becomes durable once the stop has begun.
func (r *run) stop() error {
	r.cancel()
	err := r.wal.Close()
	_ = r.listener.Close()
	r.conns.each(func(c *conn) { c.abort() })
	r.wg.Wait()
	return err
}

func (r *run) accept() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		id := r.server.connections.Add(1)
		s, err := r.server.received.open(id)
		if err != nil {
			_ = accepted.Close()
			continue
		}
		c := newConn(accepted, s)
		r.conns.add(c)
		if r.ctx.Err() != nil {
			c.abort()
		}
		r.wg.Go(func() {
			defer r.conns.remove(c)
			defer c.finish()
			r.serve(c, id)
		})
	}
}

// apply makes received records visible when they are due.
func (r *run) apply(m *member.Member) {
	for {
		changed := m.Changed()
		var due <-chan time.Time
		if next := m.ApplyDue(time.Now()); !next.IsZero() {
			due = time.After(time.Until(next))
		}
		select {
		case <-r.ctx.Done():
			return
		case <-changed:
		case <-due:
		}
	}
}
