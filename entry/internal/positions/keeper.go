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

// Config is what a keeper needs.
type Config struct {
	Directory  *directory.Directory
	DataCentre inventory.DataCentre
	// Source is the address that monitoring connections leave from; zero leaves the choice to the system.
	Source netip.Addr
	Log    *log.Logger
	// ExpectedWait tells how long a request would wait for a connection to a server; nil stands for no wait.
	ExpectedWait func(group.Server) time.Duration
	// Homes names the entries that watch a server for the others; nil means that this entry watches every server itself.
	Homes HomeLocator
	// Peers sends requests to other entries.
	Peers Peers
	// DirectEntries is the size of a fleet up to which every entry watches every server itself.
	DirectEntries int
}

// Tracker keeps the samples of every group of the inventory.
type Tracker struct {
	cfg    Config
	origin time.Time
	groups atomic.Pointer[map[group.ID]*groupState]

	reassign chan struct{}

	mu        sync.Mutex
	monitors  map[group.Server]*monitor
	observers map[netip.AddrPort]*observer
	// observerOf is the observer that follows a server.
	observerOf map[group.Server]*observer
	avoided    map[avoided]time.Time
}

// New returns a keeper that monitors nothing before Run.
func New(cfg Config) *Tracker {
	k := &Tracker{
		cfg: cfg, origin: time.Now(), reassign: make(chan struct{}, 1), monitors: make(map[group.Server]*monitor),
		observers: make(map[netip.AddrPort]*observer), observerOf: make(map[group.Server]*observer), avoided: make(map[avoided]time.Time),
	}
	k.groups.Store(&map[group.ID]*groupState{})
	k.rebuild()
	return k
}

// Run monitors the databases of the inventory until the context ends.
func (k *Tracker) Run(ctx context.Context) error {
	subscription := k.cfg.Directory.Subscribe()
	defer subscription.Close()
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(assignPeriod)
	defer ticker.Stop()
	k.rebuild()
	for {
		k.assign(ctx, &running)
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed:
			k.rebuild()
			k.wakeMonitors()
		case <-k.reassign:
		case <-ticker.C:
		}
	}
}

// rebuild follows the directory and keeps what is known of groups whose members have not changed.
func (k *Tracker) rebuild() {
	snapshot := k.cfg.Directory.Snapshot()
	old := *k.groups.Load()
	groups := make(map[group.ID]*groupState)
	if snapshot.Inventory != nil {
		for i := range snapshot.Inventory.Services {
			addGroups(groups, old, &snapshot.Inventory.Services[i])
		}
	}
	k.groups.Store(&groups)
	for id, g := range groups {
		g.update(k.newestTerm(id))
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

func (k *Tracker) group(id group.ID) *groupState { return (*k.groups.Load())[id] }

// newestTerm returns the newest term in which the group has a primary.
//
// A term that has begun without one ends no wait: until a majority promises it, writes of the old term can still be confirmed.
func (k *Tracker) newestTerm(id group.ID) group.Term {
	configuration, _ := k.cfg.Directory.Snapshot().Group(id)
	if configuration.Primary == "" {
		return 0
	}
	return configuration.Term
}

// PendingWrites calls a function for each group and term with writes that wait for their majority.
func (k *Tracker) PendingWrites(yield func(id group.ID, term group.Term)) {
	for id, g := range *k.groups.Load() {
		g.writing(func(term group.Term) { yield(id, term) })
	}
}

// Observe takes in a status that came with an answer to something sent at a time.
func (k *Tracker) Observe(service group.Service, server group.Server, status group.Status, sent time.Time) {
	g := k.group(group.ID{Service: service, Slot: status.Slot})
	if g == nil {
		return
	}
	m := g.member(server)
	if m == nil || !m.offer(status, sent) {
		return
	}
	g.update(k.newestTerm(g.id))
}

// Status returns a member's newest sample; false while there is none.
func (k *Tracker) Status(id group.ID, server group.Server) (confirm.StatusSample, bool) {
	g := k.group(id)
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

// Changed returns a channel that is closed when a status of the group changes; nil for an unknown group.
func (k *Tracker) Changed(id group.ID) <-chan struct{} {
	g := k.group(id)
	if g == nil {
		return nil
	}
	return g.changes()
}

// FillView fills what is known of a group for a choice and reports whether the group exists; it reuses the view's memory.
func (k *Tracker) FillView(id group.ID, view *route.View) bool {
	g := k.group(id)
	if g == nil {
		return false
	}
	g.viewed.Store(int64(time.Since(k.origin)))
	snapshot := k.cfg.Directory.Snapshot()
	configuration, _ := snapshot.Group(id)
	view.Term, view.Primary = configuration.Term, configuration.Primary
	view.Members = view.Members[:0]
	var inline [maxInline]confirm.StatusSample
	samples := inline[:0]
	for _, m := range g.members {
		sample := m.load()
		samples = append(samples, sample)
		server := snapshot.Server(m.server)
		if server == nil {
			continue
		}
		view.Members = append(view.Members, route.Member{
			Server:   m.server,
			Usable:   server.Live(),
			Distance: snapshot.Distance(k.cfg.DataCentre, server.DataCentre),
			Wait:     k.expectedWait(m.server),
			Risk:     len(server.FailsWith),
			Sample:   sample,
		})
	}
	view.Current = confirm.TermConfirmedAt(samples, view.Term)
	return true
}

func (k *Tracker) expectedWait(server group.Server) time.Duration {
	if k.cfg.ExpectedWait == nil {
		return 0
	}
	return k.cfg.ExpectedWait(server)
}
