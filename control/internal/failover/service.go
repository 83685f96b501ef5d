package failover

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/control/internal/roster"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/timer"
	"lentilwind.dev/lentilwind/affinity"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/inventory"
)

// Intervals and timeouts of the service.
const (
	tickInterval       = 25 * time.Millisecond
	rosterTickInterval = 250 * time.Millisecond
	proposeTimeout     = 2 * time.Second
	failureWindow      = 3 * time.Second
)

// Config holds the settings and dependencies of a Service.
type Config struct {
	Ledger  catalog.Ledger
	Roster  *roster.Service
	Monitor *monitor.Monitor
	Timer   *timer.Service
	Events  *events.Recorder
	Log     *log.Logger
	// Group and Detector hold the failover timeouts. The service sets FailureCorrelation and PrimaryCount of Group.
	Group    failover.Config
	Detector failover.DetectorConfig
	Affinity affinity.Config
}

// Service runs failover for all groups while this process is the control leader.
type Service struct {
	cfg Config

	mu     sync.Mutex
	active *leadership
}

// New returns a service; Run starts it.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// Run follows changes of the leadership until the context ends; all requests have ended when it returns.
func (s *Service) Run(ctx context.Context) error {
	ticks := s.cfg.Timer.Every(tickInterval, s.tick)
	defer ticks.Cancel()
	rosterTicks := s.cfg.Timer.Every(rosterTickInterval, s.tickRoster)
	defer rosterTicks.Cancel()
	defer s.endLeadership()
	for {
		changed := s.cfg.Ledger.Changed()
		s.syncLeadership(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// syncLeadership starts, updates or ends the leadership according to the ledger.
func (s *Service) syncLeadership(ctx context.Context) {
	term, leading := s.cfg.Ledger.Leading()
	state := s.cfg.Ledger.State()
	active := s.currentLeadership()
	if active != nil && (!leading || active.term != uint64(term)) {
		s.endLeadership()
		active = nil
	}
	if !leading || state.Inventory() == nil {
		return
	}
	if active != nil {
		active.setInventory(time.Now(), state)
		return
	}
	active = newLeadership(ctx, &s.cfg, uint64(term), state)
	s.mu.Lock()
	s.active = active
	s.mu.Unlock()
	active.start(time.Now(), state)
}

func (s *Service) currentLeadership() *leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// endLeadership ends the leadership; results that arrive later are dropped.
func (s *Service) endLeadership() {
	s.mu.Lock()
	active := s.active
	s.active = nil
	s.mu.Unlock()
	if active == nil {
		return
	}
	s.cfg.Roster.StepDown()
	active.end()
}

func (s *Service) tick(now time.Time) {
	if active := s.currentLeadership(); active != nil {
		active.tick(now)
	}
}

func (s *Service) tickRoster(now time.Time) {
	s.cfg.Monitor.CloseIdle(now)
	if s.currentLeadership() != nil {
		s.cfg.Roster.Tick(now)
	}
}

// groupMembers returns the members that all groups of a service share.
func groupMembers(service inventory.Service) []failover.Member {
	list := make([]failover.Member, 0, len(service.Databases))
	for _, database := range service.Databases {
		list = append(list, failover.Member{Server: database.Name, DataCentre: database.DataCentre})
	}
	return list
}
