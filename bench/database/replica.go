package database

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/bench/internal/member"
)

const (
	probePeriod   = 20 * time.Millisecond
	redialPeriod  = 50 * time.Millisecond
	maxQueuedSets = 4096
)

// follow keeps a member connected to the primary that it was told to follow.
func (r *run) follow(m *member.Member) {
	for r.ctx.Err() == nil {
		target, changed := m.CurrentSource()
		if target.Address == "" {
			select {
			case <-r.ctx.Done():
				return
			case <-changed:
			}
			continue
		}
		_ = r.link(m, target)
		r.pause(redialPeriod)
	}
}

// replicaLink is a connection to a primary.
type replicaLink struct {
	run      *run
	member   *member.Member
	target   member.Source
	conn     net.Conn
	frontend *pgproto3.Frontend
	batches  chan arrival

	mu   sync.Mutex
	sent map[uint64]time.Time
}

// arrival is a batch with the time at which it came.
type arrival struct {
	batch member.Batch
	at    time.Time
}

// link follows one primary until the connection fails or the target changes.
func (r *run) link(m *member.Member, target member.Source) error {
	l := &replicaLink{
		run: r, member: m, target: target,
		batches: make(chan arrival, maxQueuedSets), sent: make(map[uint64]time.Time),
	}
	g, ctx := errgroup.WithContext(r.ctx)
	g.Go(func() error { return l.watchTarget(ctx) })
	g.Go(func() error {
		if err := l.connect(ctx); err != nil {
			return err
		}
		g.Go(func() error { return l.read(ctx) })
		g.Go(func() error { return l.probe(ctx) })
		g.Go(func() error { return l.take(ctx) })
		return nil
	})
	return g.Wait()
}

// connect opens the connection, which closes with the context, and joins the primary.
func (l *replicaLink) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: l.run.server.cfg.LinkTimeout.Std(), LocalAddr: l.run.localAddress()}
	c, err := dialer.DialContext(ctx, "tcp", l.target.Address)
	if err != nil {
		return fmt.Errorf("database: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = c.Close() })
	l.conn, l.frontend = c, pgproto3.NewFrontend(c, c)
	return l.join()
}

func (l *replicaLink) join() error {
	_ = l.conn.SetDeadline(time.Now().Add(l.run.server.cfg.LinkTimeout.Std()))
	l.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": userReplication, "database": string(l.run.server.cfg.Service)},
	})
	target, hello := l.member.JoinRequest()
	if target != l.target {
		return errTargetChanged
	}
	if err := l.send(hello); err != nil {
		return err
	}
	if message, err := l.frontend.Receive(); err != nil {
		return err
	} else if _, ok := message.(*pgproto3.AuthenticationOk); !ok {
		return fmt.Errorf("database: the primary answered %T", message)
	}
	var welcome member.JoinReply
	if err := l.receive(&welcome); err != nil {
		return err
	}
	_ = l.conn.SetDeadline(time.Time{})
	return l.member.Join(l.target, welcome)
}

var errTargetChanged = errors.New("database: the member follows another primary")

func (l *replicaLink) send(body any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic("database: " + err.Error())
	}
	l.frontend.Send(&pgproto3.CopyData{Data: data})
	return l.frontend.Flush()
}

func (l *replicaLink) receive(body any) error {
	message, err := l.frontend.Receive()
	if err != nil {
		return err
	}
	data, ok := message.(*pgproto3.CopyData)
	if !ok {
		return fmt.Errorf("database: the primary sent %T", message)
	}
	return cbor.Unmarshal(data.Data, body)
}

func (l *replicaLink) read(ctx context.Context) error {
	defer close(l.batches)
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(l.run.server.cfg.LinkTimeout.Std()))
		var batch member.Batch
		if err := l.receive(&batch); err != nil {
			return err
		}
		select {
		case l.batches <- arrival{batch: batch, at: time.Now()}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// take makes batches durable after the receive delay.
func (l *replicaLink) take(ctx context.Context) error {
	for a := range l.batches {
		faults := l.run.server.faults.get()
		due := a.at.Add(faults.ReceiveDelay.Std())
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		visible := due.Add(faults.ApplyDelay.Std())
		if err := l.member.Receive(l.target, a.batch, l.sentAt(a.batch.Probe), visible); err != nil {
			return err
		}
	}
	return errors.New("database: the primary closed the connection")
}

func (l *replicaLink) probe(ctx context.Context) error {
	for number := uint64(1); ; number++ {
		l.mu.Lock()
		l.sent[number] = time.Now()
		l.mu.Unlock()
		if err := l.send(probeMessage{Number: number}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(probePeriod):
		}
	}
}

// sentAt returns when a probe was sent, and forgets it and those before.
func (l *replicaLink) sentAt(number uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.sent[number]
	for n := range l.sent {
		if n <= number {
			delete(l.sent, n)
		}
	}
	return at
}

// watchTarget ends the link when the member is told to follow another primary.
func (l *replicaLink) watchTarget(ctx context.Context) error {
	for {
		target, changed := l.member.CurrentSource()
		if target != l.target {
			return errTargetChanged
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
