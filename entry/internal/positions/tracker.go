package positions

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/route"

	"lentilwind.dev/entry/internal/directory"
)

// Config configures a Tracker.
type Config struct {
	Directory  *directory.Directory
	DataCentre inventory.DataCentre
	// Source is the local address of monitoring connections; zero lets the system choose it.
	Source netip.Addr
	Log    *log.Logger
	// ExpectedWait estimates how long a request would wait for a connection to a server; nil means no wait.
	ExpectedWait func(group.Server) time.Duration
	// Homes finds the entries that monitor a server on behalf of the others; nil means that this entry monitors every server.
	Homes HomeLocator
	Peers Peers
	// DirectEntries is the number of entries up to which each of them monitors every server itself.
	DirectEntries int
}

// Tracker keeps the newest status of each group member, from its own monitors and from the homes of other servers.
type Tracker struct {
	cfg    Config
	origin time.Time
	groups atomic.Pointer[map[group.ID]*groupState]

	reassign chan struct{}

	mu        sync.Mutex
	monitors  map[group.Server]*monitor
	observers map[netip.AddrPort]*observer
	// observerOf maps each server to the observer that asks about it.
	observerOf   map[group.Server]*observer
	avoidedHomes map[avoidedHome]time.Time
}

// New returns a tracker that starts monitoring when Run is called.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg: cfg, origin: time.Now(), reassign: make(chan struct{}, 1), monitors: make(map[group.Server]*monitor),
		observers: make(map[netip.AddrPort]*observer), observerOf: make(map[group.Server]*observer), avoidedHomes: make(map[avoidedHome]time.Time),
	}
	t.groups.Store(&map[group.ID]*groupState{})
	t.rebuild()
	return t
}

// Run monitors the databases of the inventory until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	subscription := t.cfg.Directory.Subscribe()
	defer subscription.Close()
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(assignPeriod)
	defer ticker.Stop()
	t.rebuild()
	for {
		t.assign(ctx, &running)
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed:
			t.rebuild()
			t.wakeMonitors()
		case <-t.reassign:
		case <-ticker.C:
		}
	}
}

// rebuild applies a change of the directory. Groups whose members are unchanged keep their statuses.
func (t *Tracker) rebuild() {
	snapshot := t.cfg.Directory.Snapshot()
	old := *t.groups.Load()
	groups := make(map[group.ID]*groupState)
	if snapshot.Inventory != nil {
		for i := range snapshot.Inventory.Services {
			addGroups(groups, old, &snapshot.Inventory.Services[i])
		}
	}
	t.groups.Store(&groups)
	for id, g := range groups {
		g.resolveWaiters(t.newestTerm(id))
	}
}

func addGroups(groups, old map[group.ID]*groupState, service *inventory.Service) {
	servers := make([]group.Server, 0, len(service.Databases))
	for _, database := range service.Databases {
		servers = append(servers, database.Name)
	}
	for slot := range service.Slots {
		id := group.ID{Service: service.Name, Slot: group.Slot(slot)}
		if known := old[id]; known != nil && known.sameMembers(servers) {
			groups[id] = known
			continue
		}
		groups[id] = newGroupState(id, servers)
	}
}

func (g *groupState) sameMembers(servers []group.Server) bool {
	if len(servers) != len(g.members) {
		return false
	}
	for i, server := range servers {
		if g.members[i].server != server {
			return false
		}
	}
	return true
}

func (t *Tracker) group(id group.ID) *groupState { return (*t.groups.Load())[id] }

// newestTerm returns the newest term of a group that has a primary, or 0.
//
// A term without a primary ends no wait: until a majority has promised it, writes of the old term can still be confirmed.
func (t *Tracker) newestTerm(id group.ID) group.Term {
	configuration, _ := t.cfg.Directory.Snapshot().Group(id)
	if configuration.Primary == "" {
		return 0
	}
	return configuration.Term
}

// PendingWrites calls yield with the group and term of each write that waits for confirmation.
func (t *Tracker) PendingWrites(yield func(id group.ID, term group.Term)) {
	for id, g := range *t.groups.Load() {
		g.pendingWrites(func(term group.Term) { yield(id, term) })
	}
}

// Observe records a status that came with the answer to a message sent at the given time.
func (t *Tracker) Observe(service group.Service, server group.Server, status group.Status, sentAt time.Time) {
	g := t.group(group.ID{Service: service, Slot: status.Slot})
	if g == nil {
		return
	}
	m := g.member(server)
	if m == nil || !m.update(status, sentAt) {
		return
	}
	g.resolveWaiters(t.newestTerm(g.id))
}

// Status returns a member's newest sample, or false if there is none.
func (t *Tracker) Status(id group.ID, server group.Server) (confirm.StatusSample, bool) {
	g := t.group(id)
	if g == nil {
		return confirm.StatusSample{}, false
	}
	m := g.member(server)
	if m == nil {
		return confirm.StatusSample{}, false
	}
	sample := m.load()
	return sample, !sample.SentAt.IsZero()
}

// Changed returns a channel that is closed on the next status change of the group; nil for an unknown group.
func (t *Tracker) Changed(id group.ID) <-chan struct{} {
	g := t.group(id)
	if g == nil {
		return nil
	}
	return g.changes()
}

// FillView fills a routing view of a group, reusing its memory, and reports whether the group exists.
func (t *Tracker) FillView(id group.ID, view *route.View) bool {
	g := t.group(id)
	if g == nil {
		return false
	}
	g.lastRead.Store(int64(time.Since(t.origin)))
	snapshot := t.cfg.Directory.Snapshot()
	configuration, _ := snapshot.Group(id)
	view.Term, view.Primary = configuration.Term, configuration.Primary
	view.Members = view.Members[:0]
	var buffer [maxInlineMembers]confirm.StatusSample
	samples := buffer[:0]
	for _, m := range g.members {
		sample := m.load()
		samples = append(samples, sample)
		server := snapshot.Server(m.server)
		if server == nil {
			continue
		}
		view.Members = append(view.Members, route.Member{
			Server:        m.server,
			Usable:        server.Live(),
			Distance:      snapshot.Distance(t.cfg.DataCentre, server.DataCentre),
			ExpectedWait:  t.expectedWait(m.server),
			JointFailures: len(server.FailsWith),
			Sample:        sample,
		})
	}
	view.TermConfirmedAt = confirm.TermConfirmedAt(samples, view.Term)
	return true
}

func (t *Tracker) expectedWait(server group.Server) time.Duration {
	if t.cfg.ExpectedWait == nil {
		return 0
	}
	return t.cfg.ExpectedWait(server)
}
