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

// entry holds the components of a running entry.
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
	positions  *positions.Tracker
	quota      *quota.Limiter
	pools      *pool.Set
	// homeLocator is either placement or homes, depending on the budget source in the settings; the other one is nil.
	homeLocator   executor.HomeLocator
	placement     *executor.InventoryPlacement
	homes         *homes.Manager
	forwardServer *executor.ForwardServer
	server        *caller.Server

	stopping atomic.Bool
}

// newEntry opens the listeners and creates the components.
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
	if err := e.setUpPeers(); err != nil {
		return nil, err
	}
	return e, e.setUpCallers()
}

// maxDirectEntries is the maximum number of entries in a fleet in which each entry monitors every server itself. Control monitors
// the servers too, and a server allows 16 monitoring connections.
const maxDirectEntries = 8

// setUpPeers creates the components that communicate with other processes.
func (e *entry) setUpPeers() error {
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
	e.homeLocator = e.newHomeLocator()
	e.positions = positions.New(positions.Config{
		Directory: e.directory, DataCentre: s.DataCentre, Source: endpoint.Address().Addr(), Log: e.log,
		Homes: e.homeLocator, Peers: endpoint, DirectEntries: maxDirectEntries,
	})
	endpoint.Handle(protocol.KindObserve, e.positions.ServeObserve)
	e.membership = membership.New(membership.Config{
		Name: s.Name, Incarnation: e.incarnation, DataCentre: s.DataCentre, Address: e.advertisedAddress(), Endpoint: endpoint,
		Leader: leader, Directory: e.directory, Log: e.log, Events: e.events, Suspects: e.positions.Suspects, Running: e.staleWriteGroups,
	})
	e.quota = quota.New(quota.Config{Name: s.Name, Settings: quotas.DefaultSettings(), Limits: e.directory, Leader: leader, Now: clock.Now})
	return nil
}

// advertisedAddress returns the address at which other processes reach the entry.
func (e *entry) advertisedAddress() netip.AddrPort {
	if e.settings.Advertise != "" {
		return netip.MustParseAddrPort(e.settings.Advertise)
	}
	return e.endpoint.Address()
}

// setUpCallers opens the TCP listeners and creates the components that serve callers.
func (e *entry) setUpCallers() error {
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
	e.forwardServer = executor.NewForwardServer(local)
	router := executor.NewRouter(local, executor.NewRemote(e.endpoint, waits), e.homeLocator)
	e.endpoint.HandleStream(protocol.KindTransaction, e.forwardServer.ServeStream)
	e.server = caller.NewServer(caller.Config{
		Directory: e.directory, Positions: e.positions, Executor: router, Quota: e.quota, Signer: signer,
		TLS: e.identity.ServerWithoutClientAuth(), PlainTextNetworks: s.PlainTextPrefixes(), Limits: callerLimits(&s.Limits), Events: e.events, Log: e.log,
	}, listener)
	e.timers.Every(trimInterval, e.pools.Trim)
	e.timers.Every(abandonInterval, func(now time.Time) {
		terms := termState{e.directory.Snapshot()}
		e.pools.AbandonStaleWrites(now, terms)
		waits.CancelObsolete(terms)
	})
	return errors.Join(e.server.RegisterMetrics(e.metrics.Meter), e.registerPoolMetrics())
}

// Intervals of periodic tasks.
const (
	trimInterval    = 10 * time.Second
	abandonInterval = 100 * time.Millisecond
)

// termState reports from a snapshot which terms have ended and which servers are unavailable.
type termState struct {
	snapshot *directory.Snapshot
}

// TermEnded reports whether a newer term of the group has begun.
func (s termState) TermEnded(id group.ID, term group.Term) bool {
	configuration, found := s.snapshot.Group(id)
	return found && configuration.Term > term
}

// ServerLost reports whether control no longer receives anything from the server, or the server is not in the inventory.
func (s termState) ServerLost(name group.Server) bool {
	server := s.snapshot.Server(name)
	return server == nil || server.Health == protocol.HealthSilent
}

// ServerClosed reports whether the server accepts no new work.
func (s termState) ServerClosed(name group.Server) bool {
	server := s.snapshot.Server(name)
	return server == nil || !server.Live()
}

func callerLimits(l *settings.Limits) caller.Limits {
	return caller.Limits{
		Callers: l.Callers, RequestBytes: l.RequestBytes, AnswerBytes: l.AnswerBytes, RequestTimeout: l.RequestTimeout.Std(),
		AnswerTimeout: l.AnswerTimeout.Std(), ConfirmTimeout: l.ConfirmTimeout.Std(), IdleInTransaction: l.IdleInTransaction.Std(),
		SlowCaller: l.SlowCaller.Std(), StartupTimeout: l.StartupTimeout.Std(),
	}
}

// newSigner reads the secrets that sign session tokens, one per line.
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

// staleWriteGroups returns the groups that have running write transactions, or writes waiting for their majority, in an older term
// than the directory's.
func (e *entry) staleWriteGroups() []group.ID {
	var groups []group.ID
	snapshot := e.directory.Snapshot()
	addIfStale := func(id group.ID, term group.Term) {
		if configuration, found := snapshot.Group(id); found && term < configuration.Term {
			groups = append(groups, id)
		}
	}
	e.pools.Each(func(_ group.Server, p *pool.Pool) { p.EachRunningWrite(addIfStale) })
	e.positions.PendingWrites(addIfStale)
	slices.SortFunc(groups, group.ID.Compare)
	return slices.Compact(groups)
}
