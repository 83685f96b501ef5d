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

// serverRun is one run of a server, from its start to its stop or crash.
type serverRun struct {
	server       *Server
	listener     net.Listener
	wal          *wal.Log
	members      []*member.Member
	incarnation  protocol.Incarnation
	conns        *connSet
	sessions     sync.Map
	clientConns  atomic.Int64
	monitorConns atomic.Int64
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

func newServerRun(s *Server, listener net.Listener, file wal.File, incarnation protocol.Incarnation) (*serverRun, error) {
	log, entries, err := wal.Open(file)
	if err != nil {
		return nil, err
	}
	r := &serverRun{server: s, listener: listener, wal: log, incarnation: incarnation, conns: newConnSet()}
	r.ctx, r.cancel = newRunContext()
	bySlot := make([][][]byte, s.cfg.Slots)
	for _, data := range entries {
		slot, err := member.EntrySlot(data)
		if err != nil || int(slot) >= len(bySlot) {
			return nil, fmt.Errorf("database: cannot read a log entry of slot %d (%w)", slot, err)
		}
		bySlot[slot] = append(bySlot[slot], data)
	}
	for i := range s.cfg.Slots {
		m, err := member.New(group.Slot(i), log, bySlot[i], s.initialConfig(i))
		if err != nil {
			return nil, err
		}
		r.members = append(r.members, m)
	}
	return r, nil
}

// initialConfig returns the configuration of a slot's member in the first term.
func (s *Server) initialConfig(slot int) member.InitialConfig {
	primary := s.cfg.Primaries[slot]
	return member.InitialConfig{Primary: primary == s.cfg.Server, Address: s.cfg.Peers[primary]}
}

func (r *serverRun) start() {
	r.wg.Go(r.accept)
	for _, m := range r.members {
		r.wg.Go(func() { r.applyRecords(m) })
		r.wg.Go(func() { r.follow(m) })
	}
	if len(r.server.cfg.Announce) > 0 {
		r.wg.Go(r.announce)
	}
}

// stop closes the log before the connections, so that nothing becomes durable after the stop has begun.
func (r *serverRun) stop() error {
	r.cancel()
	err := r.wal.Close()
	_ = r.listener.Close()
	r.conns.forEach(func(c *conn) { c.reset() })
	r.wg.Wait()
	return err
}

func (r *serverRun) accept() {
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
			c.reset()
		}
		r.wg.Go(func() {
			defer r.conns.remove(c)
			defer c.closeAfterPeer()
			r.serve(c, id)
		})
	}
}

// applyRecords makes received records visible once they are due.
func (r *serverRun) applyRecords(m *member.Member) {
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
