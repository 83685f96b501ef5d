package failover

import (
	"context"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/affinity"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/roster"
)

// leadership is the state of one unbroken leadership; whatever arrives after its end changes nothing.
type leadership struct {
	cfg    *Config
	term   uint64
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu       sync.Mutex
	ended    bool
	now      time.Time
	revision inventory.Revision
	servers  []group.ServerID
	// slots is the number of groups of each service.
	slots  map[group.Service]int
	groups map[group.ID]*managed
	// awake holds the groups whose machines asked for a tick.
	awake    map[group.ID]*managed
	detector *failover.Detector
	// failed holds the servers that were judged dead, with the time at which their groups were last told so.
	failed   map[group.ServerID]time.Time
	window   *affinity.FailureWindow
	model    *affinity.Model
	inFlight map[call]struct{}
}

// managed is one group with its machine.
type managed struct {
	id      group.ID
	machine *failover.Machine
	// appointed is the primary that the machine has last asked to be journalled.
	appointed group.Configuration
	// published is the topology that holds the newest configuration.
	published protocol.TopologyVersion
}

func newLeadership(ctx context.Context, cfg *Config, term uint64, state *catalog.State) *leadership {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	return &leadership{
		cfg:      cfg,
		term:     term,
		ctx:      ctx,
		cancel:   cancel,
		now:      now,
		groups:   make(map[group.ID]*managed),
		awake:    make(map[group.ID]*managed),
		detector: failover.NewDetector(cfg.Detector, now),
		failed:   make(map[group.ServerID]time.Time),
		window:   affinity.NewFailureWindow(failureWindow),
		model:    restoreModel(cfg.Affinity, now, state),
		inFlight: make(map[call]struct{}),
	}
}

// start publishes the journalled configurations and resumes what they leave open.
func (l *leadership) start(now time.Time, state *catalog.State) {
	l.cfg.Roster.StartTerm(now, l.term, state.Inventory(), l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = now
	l.setGroups(state)
	l.publishFailsWith()
}

// end cancels all requests and waits for them.
func (l *leadership) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.cancel()
	l.work.Wait()
}

// setInventory takes in a newly accepted inventory.
func (l *leadership) setInventory(now time.Time, state *catalog.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || state.Revision() == l.revision {
		return
	}
	l.now = now
	l.cfg.Roster.SetInventory(now, state.Inventory())
	l.setGroups(state)
	l.publishFailsWith()
}

// setGroups gives each group of the inventory a machine and drops the others; the lock is held.
func (l *leadership) setGroups(state *catalog.State) {
	l.revision = state.Revision()
	l.servers = nil
	l.slots = make(map[group.Service]int)
	listed := make(map[group.ID]struct{})
	for _, service := range state.Inventory().Services {
		for _, database := range service.Databases {
			l.servers = append(l.servers, group.ServerID{Service: service.Name, Server: database.Name})
		}
		l.slots[service.Name] = service.Slots
		for slot := range service.Slots {
			id := group.ID{Service: service.Name, Slot: group.Slot(slot)}
			listed[id] = struct{}{}
			l.setGroup(id, members(service), state)
		}
	}
	for id := range l.groups {
		if _, found := listed[id]; !found {
			delete(l.groups, id)
			delete(l.awake, id)
		}
	}
}

func (l *leadership) setGroup(id group.ID, list []failover.Member, state *catalog.State) {
	if g := l.groups[id]; g != nil {
		l.step(g, failover.MembersChanged{Members: list})
		return
	}
	cfg := l.cfg.Group
	cfg.FailureCorrelation = func(a, b group.Server) float64 { return l.model.Correlation(l.now, a, b) }
	cfg.PrimaryCount = func(server group.Server) int { return l.primaries(id.Service, server) }
	g := &managed{id: id, machine: failover.New(cfg, id, list, state.Group(id))}
	l.groups[id] = g
	l.perform(g, g.machine.Start(l.now))
}

// primaries counts the groups of a service that a server is, or is about to be, the primary of; the lock is held.
func (l *leadership) primaries(service group.Service, server group.Server) int {
	n := 0
	for slot := range l.slots[service] {
		g := l.groups[group.ID{Service: service, Slot: group.Slot(slot)}]
		if g != nil && g.primary() == server {
			n++
		}
	}
	return n
}

// primary returns the primary, or the one that is being appointed in the current term.
func (g *managed) primary() group.Server {
	current := g.machine.Configuration()
	if current.Primary == "" && g.appointed.Term == current.Term {
		return g.appointed.Primary
	}
	return current.Primary
}

// step gives a machine one event and does what follows; the lock is held.
func (l *leadership) step(g *managed, event failover.Event) {
	l.perform(g, g.machine.Step(l.now, event))
}

// receive gives a machine the answer to an effect, unless the leadership has ended meanwhile.
func (l *leadership) receive(id group.ID, event failover.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[id]
	if l.ended || g == nil {
		return
	}
	l.now = time.Now()
	l.step(g, event)
}

// tick lets time pass for the detector and for the machines that asked for it.
func (l *leadership) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.now = now
	l.detect()
	l.learn()
	for _, g := range l.awake {
		l.tickGroup(g)
	}
}

func (l *leadership) tickGroup(g *managed) {
	configuration := g.machine.Configuration()
	if configuration.Primary == "" && configuration.Term > 0 && l.cfg.Roster.Drained(g.id, g.published) {
		l.step(g, failover.Drained{Term: configuration.Term})
	}
	if wake := g.machine.NextTick(); !wake.IsZero() && !l.now.Before(wake) {
		l.step(g, failover.Tick{})
	}
}

// OnAnnouncement passes an announcement on to the groups of the server.
func (l *leadership) OnAnnouncement(now time.Time, a protocol.Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.now = now
	delete(l.failed, group.ServerID{Service: a.Service, Server: a.Server})
	for _, status := range a.Slots {
		if g := l.groups[group.ID{Service: a.Service, Slot: status.Slot}]; g != nil {
			l.step(g, failover.Announced{
				Server: a.Server, Address: a.Address, Incarnation: a.Incarnation, Leaving: a.Leaving, Status: status,
			})
		}
	}
}

// OnEntryReport passes an entry's suspicions on to the detector.
func (l *leadership) OnEntryReport(now time.Time, report protocol.EntryReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.detector.HandleReport(now, report)
	}
}

// OnServersSilent records the servers that vanished without having said that they leave.
func (l *leadership) OnServersSilent(now time.Time, servers []roster.SilentServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, server := range servers {
		if !server.WasLeaving {
			l.window.Add(now, server.ID.Server)
		}
	}
}
