package positions

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"

	"lentilwind.dev/entry/internal/directory"
)

// Settings for the choice between monitoring a server and asking one of its homes.
const (
	assignPeriod = 250 * time.Millisecond
	// avoidFor is how long a home is not asked about a server after it failed to answer for it.
	avoidFor = 2 * time.Second
)

// HomeLocator finds the homes of a server, which are the entries that monitor it.
type HomeLocator interface {
	// Homes appends the addresses of the server's homes other than this entry, the best first.
	Homes(server group.Server, dst []netip.AddrPort) (homes []netip.AddrPort, local bool)
	// IsHome reports whether this entry is a home of the server.
	IsHome(server group.Server) bool
}

// Peers sends requests to other entries.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body, reply any) error
}

// avoidedHome is a home that failed to answer for a server.
type avoidedHome struct {
	home   netip.AddrPort
	server group.Server
}

// assign starts a monitor or an observer for each server of the inventory and stops those that are no longer needed.
func (t *Tracker) assign(ctx context.Context, running *sync.WaitGroup) {
	snapshot := t.cfg.Directory.Snapshot()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for avoided, until := range t.avoidedHomes {
		if now.After(until) {
			delete(t.avoidedHomes, avoided)
		}
	}
	observed := make(map[netip.AddrPort][]group.ServerID)
	for name, m := range t.monitors {
		server := snapshot.Server(name)
		if server == nil || server.Service != m.service || t.reportingHome(snapshot, server).IsValid() {
			m.cancel()
			delete(t.monitors, name)
		}
	}
	for server := range snapshot.Servers {
		if home := t.reportingHome(snapshot, server); home.IsValid() {
			observed[home] = append(observed[home], group.ServerID{Service: server.Service, Server: server.Name})
			continue
		}
		t.startMonitor(ctx, running, server)
	}
	t.startObservers(ctx, running, observed)
}

// reportingHome returns the home from which this entry gets a server's status. An invalid address means that this entry
// monitors the server itself.
func (t *Tracker) reportingHome(snapshot *directory.Snapshot, server *directory.Server) netip.AddrPort {
	if t.cfg.Homes == nil || len(snapshot.Entries()) <= t.cfg.DirectEntries || t.cfg.Homes.IsHome(server.Name) {
		return netip.AddrPort{}
	}
	var buffer [maxInlineMembers]netip.AddrPort
	homes, _ := t.cfg.Homes.Homes(server.Name, buffer[:0])
	for _, home := range homes {
		if _, avoided := t.avoidedHomes[avoidedHome{home: home, server: server.Name}]; !avoided {
			return home
		}
	}
	return netip.AddrPort{}
}

func (t *Tracker) startMonitor(ctx context.Context, running *sync.WaitGroup, server *directory.Server) {
	if t.monitors[server.Name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &monitor{tracker: t, server: server.Name, service: server.Service, signal: make(chan struct{}, 1), cancel: cancel}
	m.lastAnswer.Store(int64(time.Since(t.origin)))
	t.monitors[server.Name] = m
	running.Go(func() { m.run(ctx) })
}

// startObservers gives each observer the servers of its home. It starts missing observers and stops unused ones.
func (t *Tracker) startObservers(ctx context.Context, running *sync.WaitGroup, observed map[netip.AddrPort][]group.ServerID) {
	clear(t.observerOf)
	for home, o := range t.observers {
		if len(observed[home]) == 0 {
			o.cancel()
			delete(t.observers, home)
		}
	}
	for home, servers := range observed {
		slices.SortFunc(servers, group.ServerID.Compare)
		o := t.observers[home]
		if o == nil {
			observerCtx, cancel := context.WithCancel(ctx)
			o = newObserver(t, home, cancel)
			t.observers[home] = o
			o.setServers(servers)
			running.Go(func() { o.runRequests(observerCtx) })
			running.Go(func() { o.runLongPoll(observerCtx) })
		}
		o.setServers(servers)
		for _, id := range servers {
			t.observerOf[id.Server] = o
		}
	}
}

// wakeMonitors wakes all monitors after a change of the directory.
func (t *Tracker) wakeMonitors() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.monitors {
		m.wake()
	}
}

// avoidHome excludes a home for the servers for a while and triggers a new assignment.
func (t *Tracker) avoidHome(home netip.AddrPort, servers []group.ServerID) {
	t.mu.Lock()
	until := time.Now().Add(avoidFor)
	for _, id := range servers {
		t.avoidedHomes[avoidedHome{home: home, server: id.Server}] = until
	}
	t.mu.Unlock()
	select {
	case t.reassign <- struct{}{}:
	default:
	}
}
