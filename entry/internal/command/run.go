package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"lentilwind.dev/entry/internal/health"
	"lentilwind.dev/entry/internal/settings"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/protocol"
)

// run serves until the context is canceled, then shuts down gracefully.
func run(ctx context.Context, s *settings.Settings, logs io.Writer) error {
	e, err := newEntry(s, logs)
	if err != nil {
		return err
	}
	defer func() { _ = e.events.Close() }()
	e.events.Record(events.Event{Kind: events.KindProcessStarted})
	e.log.Info().Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).Str("http", s.Listen.HTTP).Msg("serving")
	// The components keep running while the entry drains; they are stopped afterwards.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serveCtx := errgroup.WithContext(serveCtx)
	e.start(serveCtx, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
			return nil
		}
		e.drain(serveCtx)
		stop()
		return nil
	})
	err = g.Wait()
	e.pools.Configure(nil)
	e.events.Record(events.Event{Kind: events.KindProcessStopped})
	return err
}

// start starts all components of the entry.
func (e *entry) start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return e.endpoint.Serve(ctx) })
	g.Go(func() error { return e.membership.Run(ctx) })
	g.Go(func() error { return e.positions.Run(ctx) })
	g.Go(func() error { return e.quota.Run(ctx) })
	g.Go(func() error { return e.timers.Run(ctx) })
	g.Go(func() error { return e.runBudgets(ctx) })
	g.Go(func() error { return e.server.Serve(ctx) })
	g.Go(func() error {
		return health.Serve(ctx, e.http, health.Config{
			Ready: e.ready, Metrics: e.metrics.Handler,
			Announce: func(ctx context.Context, a protocol.Announcement) (protocol.AnnounceReply, error) {
				return e.membership.Announce(ctx, &a)
			},
		})
	})
}

var (
	errStopping    = errors.New("the entry is stopping")
	errNoInventory = errors.New("the entry has no inventory yet")
)

// ready returns nil if the load balancer may send new callers, otherwise the reason why it may not.
func (e *entry) ready() error {
	if e.stopping.Load() {
		return errStopping
	}
	if e.directory.Snapshot().Revision == 0 {
		return errNoInventory
	}
	return nil
}

// drain shuts down in steps: it tells the load balancer and the other entries to send no more work, closes the connections of
// idle callers, and then waits for running transactions until the deadline.
func (e *entry) drain(ctx context.Context) {
	e.events.Record(events.Event{Kind: events.KindProcessStopping})
	ctx, cancel := context.WithTimeout(ctx, e.settings.Stop.Deadline.Std())
	defer cancel()
	e.stopping.Store(true)
	e.membership.Drain()
	sleep(ctx, e.settings.Stop.UnreadyFor.Std())
	e.server.Drain(ctx)
	e.forwardServer.Drain()
	for e.forwardServer.Running() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	if e.homes != nil {
		e.pools.Configure(nil)
		e.homes.Release(ctx)
	}
}

// drainPollInterval is how often drain checks whether transactions are still running.
const drainPollInterval = 20 * time.Millisecond

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	return listener, nil
}
