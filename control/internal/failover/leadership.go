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

// leadership is the state of one uninterrupted leadership; results that arrive after its end are dropped.
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
	groups map[group.ID]*managedGroup
	// ticking holds the groups whose machines have requested a tick.
	ticking  map[group.ID]*managedGroup
	detector *failover.Detector
	// failed holds the servers considered failed and the time at which their groups were last notified.
	failed   map[group.ServerID]time.Time
	window   *affinity.FailureWindow
	model    *affinity.Model
	inFlight map[requestKey]struct{}
}

// managedGroup is one group with its state machine.
type managedGroup struct {
	id      group.ID
	machine *failover.Machine
	// proposed is the configuration that the machine last asked to record.
	proposed group.Configuration
	// publishedVersion is the topology version that contains the group's latest configuration.
	publishedVersion protocol.TopologyVersion
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
		groups:   make(map[group.ID]*managedGroup),
		ticking:  make(map[group.ID]*managedGroup),
		detector: failover.NewDetector(cfg.Detector, now),
		failed:   make(map[group.ServerID]time.Time),
		window:   affinity.NewFailureWindow(failureWindow),
		model:    restoreModel(cfg.Affinity, now, state),
		inFlight: make(map[requestKey]struct{}),
	}
}

// start publishes the recorded configurations and resumes unfinished failovers.
func (l *leadership) start(now time.Time, state *catalog.State) {
	l.cfg.Roster.StartTerm(now, l.term, state.Inventory(), l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = now
	l.setGroups(state)
	l.publishFailsWith()
}

// end cancels all requests and waits until they have returned.
func (l *leadership) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.cancel()
	l.work.Wait()
}

// setInventory applies a newly accepted inventory.
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

// setGroups creates or updates the machine of each group in the inventory and drops groups that are no longer listed; the caller
// holds the lock.
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
			l.setGroup(id, groupMembers(service), state)
		}
	}
	for id := range l.groups {
		if _, found := listed[id]; !found {
			delete(l.groups, id)
			delete(l.ticking, id)
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
	cfg.PrimaryCount = func(server group.Server) int { return l.countPrimaries(id.Service, server) }
	g := &managedGroup{id: id, machine: failover.New(cfg, id, list, state.Group(id))}
	l.groups[id] = g
	l.applyEffects(g, g.machine.Start(l.now))
}

// countPrimaries counts the groups of a service of which a server is or is becoming the primary; the caller holds the lock.
func (l *leadership) countPrimaries(service group.Service, server group.Server) int {
	n := 0
	for slot := range l.slots[service] {
		g := l.groups[group.ID{Service: service, Slot: group.Slot(slot)}]
		if g != nil && g.effectivePrimary() == server {
			n++
		}
	}
	return n
}

// effectivePrimary returns the primary, or the one being promoted in the current term.
func (g *managedGroup) effectivePrimary() group.Server {
	current := g.machine.Configuration()
	if current.Primary == "" && g.proposed.Term == current.Term {
		return g.proposed.Primary
	}
	return current.Primary
}

// step passes an event to a machine and applies the resulting effects; the caller holds the lock.
func (l *leadership) step(g *managedGroup, event failover.Event) {
	l.applyEffects(g, g.machine.Step(l.now, event))
}

// deliver passes the result of an effect to its machine, unless the leadership has ended.
func (l *leadership) deliver(id group.ID, event failover.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[id]
	if l.ended || g == nil {
		return
	}
	l.now = time.Now()
	l.step(g, event)
}

// tick advances the detector and the machines that have requested a tick.
func (l *leadership) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.now = now
	l.detectFailures()
	l.recordFailures()
	for _, g := range l.ticking {
		l.tickGroup(g)
	}
}

func (l *leadership) tickGroup(g *managedGroup) {
	configuration := g.machine.Configuration()
	if configuration.Primary == "" && configuration.Term > 0 && l.cfg.Roster.Drained(g.id, g.publishedVersion) {
		l.step(g, failover.Drained{Term: configuration.Term})
	}
	if wake := g.machine.NextTick(); !wake.IsZero() && !l.now.Before(wake) {
		l.step(g, failover.Tick{})
	}
}

// OnAnnouncement passes an announcement to the groups of the server.
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

// OnEntryReport passes an entry's suspicions to the detector.
func (l *leadership) OnEntryReport(now time.Time, report protocol.EntryReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.detector.HandleReport(now, report)
	}
}

// OnServersSilent records the servers that went silent without announcing that they leave.
func (l *leadership) OnServersSilent(now time.Time, servers []roster.SilentServer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, server := range servers {
		if !server.WasLeaving {
			l.window.Add(now, server.ID.Server)
		}
	}
}
