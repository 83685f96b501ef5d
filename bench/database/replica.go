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
	probePeriod      = 20 * time.Millisecond
	reconnectDelay   = 50 * time.Millisecond
	maxQueuedBatches = 4096
)

// follow keeps a member connected to the primary that it is to follow.
func (r *serverRun) follow(m *member.Member) {
	for r.ctx.Err() == nil {
		source, changed := m.CurrentSource()
		if source.Address == "" {
			select {
			case <-r.ctx.Done():
				return
			case <-changed:
			}
			continue
		}
		_ = r.replicate(m, source)
		r.delay(reconnectDelay)
	}
}

// replicationLink is the connection of a replica to its primary.
type replicationLink struct {
	run      *serverRun
	member   *member.Member
	source   member.Source
	conn     net.Conn
	frontend *pgproto3.Frontend
	batches  chan receivedBatch

	mu         sync.Mutex
	probeTimes map[uint64]time.Time
}

// receivedBatch is a batch with the time at which it arrived.
type receivedBatch struct {
	batch      member.Batch
	receivedAt time.Time
}

// replicate follows one primary until the connection fails or the source changes.
func (r *serverRun) replicate(m *member.Member, source member.Source) error {
	l := &replicationLink{
		run: r, member: m, source: source,
		batches: make(chan receivedBatch, maxQueuedBatches), probeTimes: make(map[uint64]time.Time),
	}
	g, ctx := errgroup.WithContext(r.ctx)
	g.Go(func() error { return l.watchSource(ctx) })
	g.Go(func() error {
		if err := l.connect(ctx); err != nil {
			return err
		}
		g.Go(func() error { return l.readBatches(ctx) })
		g.Go(func() error { return l.sendProbes(ctx) })
		g.Go(func() error { return l.storeBatches(ctx) })
		return nil
	})
	return g.Wait()
}

// connect opens the connection, which is closed when the context ends, and joins the primary.
func (l *replicationLink) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: l.run.server.cfg.LinkTimeout.Std(), LocalAddr: l.run.localAddress()}
	c, err := dialer.DialContext(ctx, "tcp", l.source.Address)
	if err != nil {
		return fmt.Errorf("database: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = c.Close() })
	l.conn, l.frontend = c, pgproto3.NewFrontend(c, c)
	return l.join()
}

// join performs the handshake and truncates what the primary's log does not hold.
func (l *replicationLink) join() error {
	_ = l.conn.SetDeadline(time.Now().Add(l.run.server.cfg.LinkTimeout.Std()))
	l.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": userReplication, "database": string(l.run.server.cfg.Service)},
	})
	source, request := l.member.JoinRequest()
	if source != l.source {
		return errSourceChanged
	}
	if err := l.send(request); err != nil {
		return err
	}
	if message, err := l.frontend.Receive(); err != nil {
		return err
	} else if _, ok := message.(*pgproto3.AuthenticationOk); !ok {
		return fmt.Errorf("database: the primary replied with %T", message)
	}
	var reply member.JoinReply
	if err := l.receive(&reply); err != nil {
		return err
	}
	_ = l.conn.SetDeadline(time.Time{})
	return l.member.Join(l.source, reply)
}

var errSourceChanged = errors.New("database: the member follows another primary")

func (l *replicationLink) send(body any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic("database: " + err.Error())
	}
	l.frontend.Send(&pgproto3.CopyData{Data: data})
	return l.frontend.Flush()
}

func (l *replicationLink) receive(body any) error {
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

func (l *replicationLink) readBatches(ctx context.Context) error {
	defer close(l.batches)
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(l.run.server.cfg.LinkTimeout.Std()))
		var batch member.Batch
		if err := l.receive(&batch); err != nil {
			return err
		}
		select {
		case l.batches <- receivedBatch{batch: batch, receivedAt: time.Now()}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// storeBatches makes batches durable after the receive delay.
func (l *replicationLink) storeBatches(ctx context.Context) error {
	for a := range l.batches {
		faults := l.run.server.faults.get()
		due := a.receivedAt.Add(faults.ReceiveDelay.Std())
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		visible := due.Add(faults.ApplyDelay.Std())
		if err := l.member.Receive(l.source, a.batch, l.takeProbeTime(a.batch.Probe), visible); err != nil {
			return err
		}
	}
	return errors.New("database: the primary closed the connection")
}

func (l *replicationLink) sendProbes(ctx context.Context) error {
	for number := uint64(1); ; number++ {
		l.mu.Lock()
		l.probeTimes[number] = time.Now()
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

// takeProbeTime returns when a probe was sent, and discards the times of that probe and earlier ones.
func (l *replicationLink) takeProbeTime(number uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.probeTimes[number]
	for n := range l.probeTimes {
		if n <= number {
			delete(l.probeTimes, n)
		}
	}
	return at
}

// watchSource ends the link when the member is told to follow another primary.
func (l *replicationLink) watchSource(ctx context.Context) error {
	for {
		source, changed := l.member.CurrentSource()
		if source != l.source {
			return errSourceChanged
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
