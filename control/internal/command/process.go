package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/control/internal/budget"
	"lentilwind.dev/control/internal/failover"
	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/control/internal/operator"
	"lentilwind.dev/control/internal/quota"
	"lentilwind.dev/control/internal/renewal"
	"lentilwind.dev/control/internal/replica"
	"lentilwind.dev/control/internal/roster"
	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/metrics"
	"lentilwind.dev/instance/timer"
	"lentilwind.dev/lentilwind/affinity"
	decisions "lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/protocol"
	listed "lentilwind.dev/lentilwind/roster"
)

// Times of a graceful stop.
const (
	handOverTimeout = 2 * time.Second
	shutdownTimeout = 5 * time.Second
	headerTimeout   = 5 * time.Second
)

// process is one running control process.
type process struct {
	settings *settings.Settings
	log      *log.Logger
	events   *events.Recorder
	timers   *timer.Service
	endpoint *link.Endpoint
	replica  *replica.Replica
	renewal  *renewal.Service
	budgets  *budget.Service
	failover *failover.Service
	monitor  *monitor.Monitor
	stopping atomic.Bool

	operators, pages                 *http.Server
	operatorsListener, pagesListener net.Listener
}

// newProcess opens the data folder and the sockets, and wires the parts together.
func newProcess(s *settings.Settings, logTo io.Writer) (*process, error) {
	p := &process{settings: s, timers: timer.NewService()}
	clock := &hlc.Clock{}
	var err error
	if p.log, err = logs.New(logTo, s.LogLevel, string(s.Name)); err != nil {
		return nil, err
	}
	source, err := identity.Load(s.Identity)
	if err != nil {
		return nil, err
	}
	if p.events, err = events.Open(s.EventsFile, string(s.Name), clock); err != nil {
		return nil, err
	}
	if err := p.listen(source, clock); err != nil {
		return nil, errors.Join(err, p.events.Close())
	}
	p.replica, err = replica.Open(replica.Config{
		Settings: s, Endpoint: p.endpoint, Timers: p.timers, Events: p.events, Log: p.log,
	})
	if err != nil {
		return nil, errors.Join(err, p.close())
	}
	if err := p.wire(source); err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *process) listen(source *identity.Source, clock *hlc.Clock) error {
	address, err := netip.ParseAddrPort(p.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("command: %w", err)
	}
	p.endpoint, err = link.Listen(link.Config{
		Listen: address, Name: p.settings.Name, Incarnation: protocol.Incarnation(time.Now().UnixMicro()),
		Identity: source, Clock: clock, Log: p.log,
	})
	if err != nil {
		return err
	}
	if p.operatorsListener, err = net.Listen("tcp", p.settings.Listen.Operators); err != nil {
		return errors.Join(fmt.Errorf("command: %w", err), p.close())
	}
	if p.pagesListener, err = net.Listen("tcp", p.settings.Listen.HTTP); err != nil {
		return errors.Join(fmt.Errorf("command: %w", err), p.close())
	}
	return nil
}

// close closes the sockets of a process that has not begun to run.
func (p *process) close() error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	err := p.endpoint.Serve(ended)
	for _, listener := range []net.Listener{p.operatorsListener, p.pagesListener} {
		if listener != nil {
			err = errors.Join(err, listener.Close())
		}
	}
	return errors.Join(err, p.events.Close())
}

func (p *process) wire(source *identity.Source) error {
	set, err := metrics.New("lentil-control")
	if err != nil {
		return err
	}
	rosters := roster.New(listed.DefaultConfig())
	bounds := monitor.DefaultConfig()
	bounds.Source = p.endpoint.Address().Addr()
	p.monitor = monitor.New(bounds)
	p.endpoint.Handle(protocol.KindAnnounce, rosters.Handle)
	p.renewal = renewal.New(renewal.Config{
		Ledger: p.replica, Topology: rosters, Observer: rosters, Events: p.events,
	}, p.endpoint)
	quota.New(p.replica, p.endpoint)
	p.budgets = budget.New(p.replica, rosters, p.endpoint)
	p.failover = failover.New(failover.Config{
		Ledger: p.replica, Roster: rosters, Monitor: p.monitor, Timer: p.timers, Events: p.events, Log: p.log,
		Group: decisions.DefaultConfig(), Detector: decisions.DefaultDetectorConfig(), Affinity: affinity.DefaultConfig(),
	})
	if err := observe(set.Meter, p.replica, p.renewal); err != nil {
		return err
	}
	p.operators = &http.Server{
		Handler: operator.NewHandler(operator.Config{
			Replica: p.replica, Leases: p.renewal, Roster: rosters, MemberChanges: p.failover, Log: p.log,
		}),
		TLSConfig: source.Server("http/1.1"), ReadHeaderTimeout: headerTimeout,
	}
	p.pages = &http.Server{
		Handler: operator.NewHealthHandler(p.replica, p.stopping.Load, set.Page), ReadHeaderTimeout: headerTimeout,
	}
	return nil
}

// run serves until the context ends, and then stops gracefully.
func (p *process) run(ctx context.Context) error {
	p.events.Record(events.Event{Kind: events.KindProcessStarted})
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return p.timers.Run(serving) })
	g.Go(func() error { return p.endpoint.Serve(serving) })
	g.Go(func() error { return p.replica.Run(serving) })
	g.Go(func() error { return p.renewal.Run(serving) })
	g.Go(func() error { return p.budgets.Run(serving) })
	g.Go(func() error {
		defer p.monitor.Close()
		return p.failover.Run(serving)
	})
	g.Go(func() error { return ignoreClosed(p.operators.ServeTLS(p.operatorsListener, "", "")) })
	g.Go(func() error { return ignoreClosed(p.pages.Serve(p.pagesListener)) })
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			p.handOver(serving)
		case <-serving.Done():
		}
		return p.shutDown(serving)
	})
	err := g.Wait()
	p.events.Record(events.Event{Kind: events.KindProcessStopped})
	return errors.Join(err, p.events.Close())
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("command: %w", err)
}

// handOver gives the leadership away before anything is closed, so that no entry loses its lease.
func (p *process) handOver(ctx context.Context) {
	p.stopping.Store(true)
	p.events.Record(events.Event{Kind: events.KindProcessStopping})
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := p.replica.TransferLeadership(ctx); err != nil {
		p.log.Warn().Err(err).Msg("the leadership was not handed over")
	}
}

// shutDown lets requests end that operators have sent.
func (p *process) shutDown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := errors.Join(p.operators.Shutdown(ctx), p.pages.Shutdown(ctx)); err != nil {
		return errors.Join(p.operators.Close(), p.pages.Close())
	}
	return nil
}
