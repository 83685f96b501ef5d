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

// Times of the service.
const (
	tickPeriod       = 25 * time.Millisecond
	rosterTickPeriod = 250 * time.Millisecond
	proposeTimeout   = 2 * time.Second
	failureWindow    = 3 * time.Second
)

// Config is what a Service needs.
type Config struct {
	Ledger  catalog.Ledger
	Roster  *roster.Service
	Monitor *monitor.Monitor
	Timer   *timer.Service
	Events  *events.Recorder
	Log     *log.Logger
	// Group and Detector have the times of failover; FailsTogether of Group is set by the service.
	Group    failover.Config
	Detector failover.DetectorConfig
	Affinity affinity.Config
}

// Service follows the leadership of this process and runs failover while it leads.
//
// The wiring of the program builds it with New from the ledger, the roster service and a monitor, and calls Run.
type Service struct {
	cfg Config

	mu   sync.Mutex
	lead *leadership
}

// New returns a service that starts with Run.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// Run follows the ledger until the context ends; all work has ended when it returns.
func (s *Service) Run(ctx context.Context) error {
	ticks := s.cfg.Timer.Every(tickPeriod, s.tick)
	defer ticks.Cancel()
	rosterTicks := s.cfg.Timer.Every(rosterTickPeriod, s.tickRoster)
	defer rosterTicks.Cancel()
	defer s.retire()
	for {
		changed := s.cfg.Ledger.Changed()
		s.follow(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// follow starts, renews or ends the leadership as the ledger says.
func (s *Service) follow(ctx context.Context) {
	term, leading := s.cfg.Ledger.Leading()
	state := s.cfg.Ledger.State()
	lead := s.leadership()
	if lead != nil && (!leading || lead.term != uint64(term)) {
		s.retire()
		lead = nil
	}
	if !leading || state.Inventory() == nil {
		return
	}
	if lead != nil {
		lead.setInventory(time.Now(), state)
		return
	}
	lead = newLeadership(ctx, &s.cfg, uint64(term), state)
	s.mu.Lock()
	s.lead = lead
	s.mu.Unlock()
	lead.start(time.Now(), state)
}

func (s *Service) leadership() *leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead
}

// retire ends the leadership; answers that arrive later find it ended and are dropped.
func (s *Service) retire() {
	s.mu.Lock()
	lead := s.lead
	s.lead = nil
	s.mu.Unlock()
	if lead == nil {
		return
	}
	s.cfg.Roster.StepDown()
	lead.end()
}

func (s *Service) tick(now time.Time) {
	if lead := s.leadership(); lead != nil {
		lead.tick(now)
	}
}

func (s *Service) tickRoster(now time.Time) {
	s.cfg.Monitor.CloseIdle(now)
	if s.leadership() != nil {
		s.cfg.Roster.Tick(now)
	}
}

// members returns the members of every group of a service.
func members(service inventory.Service) []failover.Member {
	list := make([]failover.Member, 0, len(service.Databases))
	for _, database := range service.Databases {
		list = append(list, failover.Member{Server: database.Name, DataCentre: database.DataCentre})
	}
	return list
}
