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

// run serves until the context ends, then stops gracefully.
func run(ctx context.Context, s *settings.Settings, logs io.Writer) error {
	e, err := newEntry(s, logs)
	if err != nil {
		return err
	}
	defer func() { _ = e.events.Close() }()
	e.events.Record(events.Event{Kind: events.KindProcessStarted})
	e.log.Info().Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).Str("http", s.Listen.HTTP).Msg("serving")
	// The parts go on while the entry drains; only drain ends them.
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, serving := errgroup.WithContext(serving)
	e.start(serving, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		e.drain(serving)
		end()
		return nil
	})
	err = g.Wait()
	e.pools.Configure(nil)
	e.events.Record(events.Event{Kind: events.KindProcessStopped})
	return err
}

// start runs every part of the entry.
func (e *entry) start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return e.endpoint.Serve(ctx) })
	g.Go(func() error { return e.membership.Run(ctx) })
	g.Go(func() error { return e.keeper.Run(ctx) })
	g.Go(func() error { return e.quota.Run(ctx) })
	g.Go(func() error { return e.timers.Run(ctx) })
	g.Go(func() error { return e.followBudgets(ctx) })
	g.Go(func() error { return e.server.Serve(ctx) })
	g.Go(func() error {
		return health.Serve(ctx, e.http, health.Config{
			Ready: e.ready, Metrics: e.metrics.Page,
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

// ready tells whether the balancer may send new callers.
func (e *entry) ready() error {
	if e.stopping.Load() {
		return errStopping
	}
	if e.directory.Snapshot().Revision == 0 {
		return errNoInventory
	}
	return nil
}

// drain stops in steps: the balancer and the other entries first, then idle callers, then what runs.
func (e *entry) drain(ctx context.Context) {
	e.events.Record(events.Event{Kind: events.KindProcessStopping})
	ctx, cancel := context.WithTimeout(ctx, e.settings.Stop.Deadline.Std())
	defer cancel()
	e.stopping.Store(true)
	e.membership.Drain()
	pause(ctx, e.settings.Stop.UnreadyFor.Std())
	e.server.Drain(ctx)
	e.home.Drain()
	for e.home.Running() > 0 && ctx.Err() == nil {
		pause(ctx, drainPeriod)
	}
	if e.homes != nil {
		e.pools.Configure(nil)
		e.homes.Release(ctx)
	}
}

const drainPeriod = 20 * time.Millisecond

func pause(ctx context.Context, limit time.Duration) {
	clock := time.NewTimer(limit)
	defer clock.Stop()
	select {
	case <-ctx.Done():
	case <-clock.C:
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
