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

// Times of choosing whom to ask.
const (
	assignPeriod = 250 * time.Millisecond
	// avoidFor is how long a home that gave no answer about a server is not asked about it.
	avoidFor = 2 * time.Second
)

// HomeLocator tells which entries watch a server.
type HomeLocator interface {
	// Homes appends the addresses of the server's homes other than this entry, the best first.
	Homes(server group.Server, dst []netip.AddrPort) (homes []netip.AddrPort, local bool)
	// IsHome tells whether this entry is a home of the server.
	IsHome(server group.Server) bool
}

// Peers sends a request to another entry.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, kind protocol.Kind, body, reply any) error
}

// avoided is a server about which a home gave no answer.
type avoided struct {
	home   netip.AddrPort
	server group.Server
}

// assign starts a monitor or an observer for each server of the inventory and ends those that are needed no more.
func (k *Tracker) assign(ctx context.Context, running *sync.WaitGroup) {
	snapshot := k.cfg.Directory.Snapshot()
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for a, until := range k.avoided {
		if now.After(until) {
			delete(k.avoided, a)
		}
	}
	observed := make(map[netip.AddrPort][]group.ServerID)
	for name, m := range k.monitors {
		server := snapshot.Server(name)
		if server == nil || server.Service != m.service || k.homeOf(snapshot, server).IsValid() {
			m.cancel()
			delete(k.monitors, name)
		}
	}
	for server := range snapshot.Servers {
		if home := k.homeOf(snapshot, server); home.IsValid() {
			observed[home] = append(observed[home], group.ServerID{Service: server.Service, Server: server.Name})
			continue
		}
		k.startMonitor(ctx, running, server)
	}
	k.startObservers(ctx, running, observed)
}

// homeOf returns the home to ask about a server; an invalid address means that this entry asks the server itself.
func (k *Tracker) homeOf(snapshot *directory.Snapshot, server *directory.Server) netip.AddrPort {
	if k.cfg.Homes == nil || len(snapshot.Entries()) <= k.cfg.DirectEntries || k.cfg.Homes.IsHome(server.Name) {
		return netip.AddrPort{}
	}
	var inline [maxInline]netip.AddrPort
	homes, _ := k.cfg.Homes.Homes(server.Name, inline[:0])
	for _, home := range homes {
		if _, avoid := k.avoided[avoided{home: home, server: server.Name}]; !avoid {
			return home
		}
	}
	return netip.AddrPort{}
}

func (k *Tracker) startMonitor(ctx context.Context, running *sync.WaitGroup, server *directory.Server) {
	if k.monitors[server.Name] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &monitor{keeper: k, server: server.Name, service: server.Service, signal: make(chan struct{}, 1), cancel: cancel}
	m.answered.Store(int64(time.Since(k.origin)))
	k.monitors[server.Name] = m
	running.Go(func() { m.run(ctx) })
}

// startObservers makes the observers follow the servers of their homes.
func (k *Tracker) startObservers(ctx context.Context, running *sync.WaitGroup, observed map[netip.AddrPort][]group.ServerID) {
	clear(k.observerOf)
	for home, o := range k.observers {
		if len(observed[home]) == 0 {
			o.cancel()
			delete(k.observers, home)
		}
	}
	for home, servers := range observed {
		slices.SortFunc(servers, group.ServerID.Compare)
		o := k.observers[home]
		if o == nil {
			observerContext, cancel := context.WithCancel(ctx)
			o = newObserver(k, home, cancel)
			k.observers[home] = o
			o.follow(servers)
			running.Go(func() { o.runActive(observerContext) })
			running.Go(func() { o.runHeld(observerContext) })
		}
		o.follow(servers)
		for _, id := range servers {
			k.observerOf[id.Server] = o
		}
	}
}

// wakeMonitors lets the monitors look at what the directory says of their servers.
func (k *Tracker) wakeMonitors() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.monitors {
		m.wake()
	}
}

// avoid asks other homes about the servers for a while.
func (k *Tracker) avoid(home netip.AddrPort, servers []group.ServerID) {
	k.mu.Lock()
	until := time.Now().Add(avoidFor)
	for _, id := range servers {
		k.avoided[avoided{home: home, server: id.Server}] = until
	}
	k.mu.Unlock()
	select {
	case k.reassign <- struct{}{}:
	default:
	}
}
