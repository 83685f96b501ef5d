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
	corefailover "lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/protocol"
	coreroster "lentilwind.dev/lentilwind/roster"
)

// Timeouts of a graceful stop and of reading request headers.
const (
	leadershipTransferTimeout = 2 * time.Second
	shutdownTimeout           = 5 * time.Second
	headerTimeout             = 5 * time.Second
)

// process is a control process with its services and sockets.
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

	operatorServer, healthServer     *http.Server
	operatorListener, healthListener net.Listener
}

// newProcess opens the sockets and the data folder, and creates the services.
func newProcess(s *settings.Settings, logOutput io.Writer) (*process, error) {
	p := &process{settings: s, timers: timer.NewService()}
	clock := &hlc.Clock{}
	var err error
	if p.log, err = logs.New(logOutput, s.LogLevel, string(s.Name)); err != nil {
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
	if err := p.setUpServices(source); err != nil {
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
	if p.operatorListener, err = net.Listen("tcp", p.settings.Listen.Operators); err != nil {
		return errors.Join(fmt.Errorf("command: %w", err), p.close())
	}
	if p.healthListener, err = net.Listen("tcp", p.settings.Listen.HTTP); err != nil {
		return errors.Join(fmt.Errorf("command: %w", err), p.close())
	}
	return nil
}

// close closes the sockets and the events file of a process that was not started.
func (p *process) close() error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	err := p.endpoint.Serve(ended)
	for _, listener := range []net.Listener{p.operatorListener, p.healthListener} {
		if listener != nil {
			err = errors.Join(err, listener.Close())
		}
	}
	return errors.Join(err, p.events.Close())
}

func (p *process) setUpServices(source *identity.Source) error {
	metricSet, err := metrics.New("lentil-control")
	if err != nil {
		return err
	}
	rosterService := roster.New(coreroster.DefaultConfig())
	monitorConfig := monitor.DefaultConfig()
	monitorConfig.Source = p.endpoint.Address().Addr()
	p.monitor = monitor.New(monitorConfig)
	p.endpoint.Handle(protocol.KindAnnounce, rosterService.Handle)
	p.renewal = renewal.New(renewal.Config{
		Ledger: p.replica, Topology: rosterService, Observer: rosterService, Events: p.events,
	}, p.endpoint)
	quota.New(p.replica, p.endpoint)
	p.budgets = budget.New(p.replica, rosterService, p.endpoint)
	p.failover = failover.New(failover.Config{
		Ledger: p.replica, Roster: rosterService, Monitor: p.monitor, Timer: p.timers, Events: p.events, Log: p.log,
		Group: corefailover.DefaultConfig(), Detector: corefailover.DefaultDetectorConfig(), Affinity: affinity.DefaultConfig(),
	})
	if err := registerGauges(metricSet.Meter, p.replica, p.renewal); err != nil {
		return err
	}
	p.operatorServer = &http.Server{
		Handler: operator.NewHandler(operator.Config{
			Replica: p.replica, Leases: p.renewal, Roster: rosterService, MemberChanges: p.failover, Log: p.log,
		}),
		TLSConfig: source.Server("http/1.1"), ReadHeaderTimeout: headerTimeout,
	}
	p.healthServer = &http.Server{
		Handler: operator.NewHealthHandler(p.replica, p.stopping.Load, metricSet.Handler), ReadHeaderTimeout: headerTimeout,
	}
	return nil
}

// run serves until the context is done, and then stops gracefully.
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
	g.Go(func() error { return ignoreServerClosed(p.operatorServer.ServeTLS(p.operatorListener, "", "")) })
	g.Go(func() error { return ignoreServerClosed(p.healthServer.Serve(p.healthListener)) })
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			p.transferLeadership(serving)
		case <-serving.Done():
		}
		return p.shutDown(serving)
	})
	err := g.Wait()
	p.events.Record(events.Event{Kind: events.KindProcessStopped})
	return errors.Join(err, p.events.Close())
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("command: %w", err)
}

// transferLeadership hands the leadership to another member before anything is closed, so that entries can renew their leases there
// before they expire.
func (p *process) transferLeadership(ctx context.Context) {
	p.stopping.Store(true)
	p.events.Record(events.Event{Kind: events.KindProcessStopping})
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := p.replica.TransferLeadership(ctx); err != nil {
		p.log.Warn().Err(err).Msg("failed to transfer the leadership")
	}
}

// shutDown stops the HTTP servers and waits for requests in progress until the timeout.
func (p *process) shutDown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := errors.Join(p.operatorServer.Shutdown(ctx), p.healthServer.Shutdown(ctx)); err != nil {
		return errors.Join(p.operatorServer.Close(), p.healthServer.Close())
	}
	return nil
}
