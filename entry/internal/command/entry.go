package command

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/entry/internal/caller"
	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/homes"
	"lentilwind.dev/entry/internal/membership"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/entry/internal/positions"
	"lentilwind.dev/entry/internal/settings"
	"lentilwind.dev/entry/quota"
	"lentilwind.dev/instance/clock"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/instance/logs"
	"lentilwind.dev/instance/metrics"
	"lentilwind.dev/instance/timer"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/protocol"
	quotas "lentilwind.dev/lentilwind/quota"
	"lentilwind.dev/lentilwind/session"
)

// entry is the parts of a running entry.
type entry struct {
	settings    *settings.Settings
	incarnation protocol.Incarnation
	clock       *hlc.Clock
	log         *log.Logger
	events      *events.Recorder
	metrics     *metrics.Set
	timers      *timer.Service
	identity    *identity.Source
	http        net.Listener

	endpoint   *link.Endpoint
	directory  *directory.Directory
	leader     *membership.LeaderClient
	membership *membership.Membership
	keeper     *positions.Tracker
	quota      *quota.Limiter
	pools      *pool.Set
	// places is the placement or the homes, whichever the settings choose; the other one is nil.
	places    executor.HomeLocator
	placement *executor.InventoryPlacement
	homes     *homes.Manager
	home      *executor.ForwardServer
	server    *caller.Server

	stopping atomic.Bool
}

// newEntry opens the listeners and puts the parts together.
func newEntry(s *settings.Settings, w io.Writer) (*entry, error) {
	e := &entry{
		settings: s, incarnation: protocol.Incarnation(time.Now().UnixMilli()), clock: &hlc.Clock{},
		timers: timer.NewService(), directory: directory.New(), pools: pool.NewSet(netip.MustParseAddrPort(s.Listen.Peers).Addr()),
	}
	var err error
	if e.log, err = logs.New(w, s.LogLevel, string(s.Name)); err != nil {
		return nil, err
	}
	if e.events, err = events.Open(s.EventsFile, string(s.Name), e.clock); err != nil {
		return nil, err
	}
	if e.metrics, err = metrics.New("lentil-entry"); err != nil {
		return nil, err
	}
	if e.identity, err = identity.Load(s.Identity); err != nil {
		return nil, err
	}
	if err := e.connectPeers(); err != nil {
		return nil, err
	}
	return e, e.listenToCallers()
}

// directEntries is the size of a fleet up to which every entry monitors every server; control monitors them too, and a server
// allows 16 such connections.
const directEntries = 8

// connectPeers puts together what talks to the other processes.
func (e *entry) connectPeers() error {
	s := e.settings
	endpoint, err := link.Listen(link.Config{
		Listen: netip.MustParseAddrPort(s.Listen.Peers), Name: s.Name, Incarnation: e.incarnation,
		Identity: e.identity, Clock: e.clock, Log: e.log,
	})
	if err != nil {
		return err
	}
	e.endpoint = endpoint
	control := make([]netip.AddrPort, 0, len(s.Control))
	for _, address := range s.Control {
		control = append(control, netip.MustParseAddrPort(address))
	}
	leader := membership.NewLeaderClient(endpoint, control)
	e.leader = leader
	e.places = e.newHomes()
	e.keeper = positions.New(positions.Config{
		Directory: e.directory, DataCentre: s.DataCentre, Source: endpoint.Address().Addr(), Log: e.log,
		Homes: e.places, Peers: endpoint, DirectEntries: directEntries,
	})
	endpoint.Handle(protocol.KindObserve, e.keeper.ServeObserve)
	e.membership = membership.New(membership.Config{
		Name: s.Name, Incarnation: e.incarnation, DataCentre: s.DataCentre, Address: e.advertised(), Endpoint: endpoint,
		Leader: leader, Directory: e.directory, Log: e.log, Events: e.events, Suspects: e.keeper.Suspects, Running: e.running,
	})
	e.quota = quota.New(quota.Config{Name: s.Name, Settings: quotas.DefaultSettings(), Limits: e.directory, Leader: leader, Now: clock.Now})
	return nil
}

func (e *entry) advertised() netip.AddrPort {
	if e.settings.Advertise != "" {
		return netip.MustParseAddrPort(e.settings.Advertise)
	}
	return e.endpoint.Address()
}

// listenToCallers puts together what serves callers.
func (e *entry) listenToCallers() error {
	s := e.settings
	signer, err := newSigner(s.SessionSecretFile)
	if err != nil {
		return err
	}
	if e.http, err = listen(s.Listen.HTTP); err != nil {
		return err
	}
	listener, err := listen(s.Listen.Callers)
	if err != nil {
		return err
	}
	waits := executor.NewWaitRegistry()
	local := executor.NewLocal(e.pools, waits)
	e.home = executor.NewForwardServer(local)
	router := executor.NewRouter(local, executor.NewRemote(e.endpoint, waits), e.places)
	e.endpoint.HandleStream(protocol.KindTransaction, e.home.ServeStream)
	e.server = caller.NewServer(caller.Config{
		Directory: e.directory, Positions: e.keeper, Executor: router, Quota: e.quota, Signer: signer,
		TLS: e.identity.ServerOnly(), PlainTextNetworks: s.PlainTextPrefixes(), Limits: callerLimits(&s.Limits), Events: e.events, Log: e.log,
	}, listener)
	e.timers.Every(trimPeriod, e.pools.Trim)
	e.timers.Every(abandonPeriod, func(now time.Time) {
		ended := endedTerms{e.directory.Snapshot()}
		e.pools.AbandonStaleWrites(now, ended)
		waits.CancelObsolete(ended)
	})
	return errors.Join(e.server.RegisterMetrics(e.metrics.Meter), e.registerPools())
}

// Periods of the entry's own timers.
const (
	trimPeriod    = 10 * time.Second
	abandonPeriod = 100 * time.Millisecond
)

// endedTerms tells from a snapshot which terms and servers are over.
type endedTerms struct {
	snapshot *directory.Snapshot
}

// TermEnded tells that a newer term of the group has begun.
func (e endedTerms) TermEnded(id group.ID, term group.Term) bool {
	configuration, found := e.snapshot.Group(id)
	return found && configuration.Term > term
}

// ServerLost tells that control hears nothing from the server.
func (e endedTerms) ServerLost(name group.Server) bool {
	server := e.snapshot.Server(name)
	return server == nil || server.Health == protocol.HealthSilent
}

// ServerClosed tells that the server gets no new work.
func (e endedTerms) ServerClosed(name group.Server) bool {
	server := e.snapshot.Server(name)
	return server == nil || !server.Live()
}

func callerLimits(l *settings.Limits) caller.Limits {
	return caller.Limits{
		Callers: l.Callers, RequestBytes: l.RequestBytes, AnswerBytes: l.AnswerBytes, RequestTimeout: l.RequestTimeout.Std(),
		AnswerTimeout: l.AnswerTimeout.Std(), ConfirmTimeout: l.ConfirmTimeout.Std(), IdleInTransaction: l.IdleInTransaction.Std(),
		SlowCaller: l.SlowCaller.Std(), StartupTimeout: l.StartupTimeout.Std(),
	}
}

// newSigner reads the secrets of session tokens, one on a line.
func newSigner(path string) (*session.Signer, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("command: session secret: %w", err)
	}
	var secrets [][]byte
	for line := range bytes.Lines(data) {
		if line = bytes.TrimSpace(line); len(line) > 0 {
			secrets = append(secrets, line)
		}
	}
	return session.NewSigner(secrets...)
}

// running returns the groups with write transactions, or writes that wait for their majority, of an older term than the directory names.
func (e *entry) running() []group.ID {
	var running []group.ID
	snapshot := e.directory.Snapshot()
	note := func(id group.ID, term group.Term) {
		if configuration, found := snapshot.Group(id); found && term < configuration.Term {
			running = append(running, id)
		}
	}
	e.pools.Each(func(_ group.Server, p *pool.Pool) { p.EachRunningWrite(note) })
	e.keeper.PendingWrites(note)
	slices.SortFunc(running, group.ID.Compare)
	return slices.Compact(running)
}
