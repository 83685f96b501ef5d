package roster

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Config holds the timeouts and limits of a roster.
type Config struct {
	// ServerTimeout is the time after which a server that does not announce itself gets no new work.
	ServerTimeout time.Duration
	// EntryTimeout is the time after which an entry that does not report gets no new work.
	EntryTimeout time.Duration
	// DiscoveryPeriod is the time within which a new leader hears from every live process: two intervals of announcements and
	// renewals.
	DiscoveryPeriod time.Duration
	// IncarnationTimeout is the time after which a silent server or entry is accepted again with any incarnation.
	IncarnationTimeout time.Duration
	// StopGrace is the time that entries need to stop using a server; it must be at least the configuration lease.
	StopGrace time.Duration
	// MaxUnknownServers bounds the number of servers kept that the inventory does not list.
	MaxUnknownServers int
	// MaxChanges bounds the number of changes kept for deltas.
	MaxChanges int
}

// DefaultConfig returns the configuration for servers that announce themselves every second.
func DefaultConfig() Config {
	return Config{
		ServerTimeout:      3 * time.Second,
		EntryTimeout:       4 * time.Second,
		DiscoveryPeriod:    2500 * time.Millisecond,
		IncarnationTimeout: time.Minute,
		StopGrace:          6 * time.Second,
		MaxUnknownServers:  64,
		MaxChanges:         8192,
	}
}

// Server is the state of one backend server.
type Server struct {
	ID         group.ServerID
	DataCentre inventory.DataCentre
	Health     protocol.Health
	FailsWith  []group.Server
	// AnnouncedAt is the time at which LastAnnouncement, the last accepted announcement, arrived.
	AnnouncedAt      time.Time
	LastAnnouncement protocol.Announcement

	leavingSince time.Time
}

type entry struct {
	report     protocol.EntryReport
	health     protocol.Health
	reportedAt time.Time
}

// Roster holds the servers, entries and groups known to one leader of control. Each leader starts with an empty roster. It
// is not safe for concurrent use.
type Roster struct {
	cfg     Config
	started time.Time
	changes changeLog

	servers map[group.ServerID]*Server
	unknown map[group.ServerID]*Server
	entries map[inventory.InstanceName]*entry
	groups  map[group.ID]group.Configuration
	// primaryChangedAt holds the time of the last change of a group's configuration in each service.
	primaryChangedAt map[group.Service]time.Time
	instances        map[inventory.InstanceName]inventory.DataCentre
	// discoveryDone is set once every live process has had time to be heard from.
	discoveryDone bool
}

// New returns the roster of a leader whose term begins now; first must be newer than any version already sent in that term.
func New(cfg Config, first protocol.TopologyVersion, now time.Time) *Roster {
	return &Roster{
		cfg:              cfg,
		started:          now,
		changes:          changeLog{term: first.LeaderTerm, count: first.Count, limit: cfg.MaxChanges},
		servers:          make(map[group.ServerID]*Server),
		unknown:          make(map[group.ServerID]*Server),
		entries:          make(map[inventory.InstanceName]*entry),
		groups:           make(map[group.ID]group.Configuration),
		primaryChangedAt: make(map[group.Service]time.Time),
		instances:        make(map[inventory.InstanceName]inventory.DataCentre),
	}
}

// SetInventory applies the accepted inventory; a server that it no longer lists gets no work.
func (r *Roster) SetInventory(now time.Time, inv *inventory.Inventory) {
	r.setServers(now, inv)
	r.instances = make(map[inventory.InstanceName]inventory.DataCentre, len(inv.Instances))
	for _, instance := range inv.Instances {
		r.instances[instance.Name] = instance.DataCentre
	}
	for name := range r.entries {
		if _, listed := r.instances[name]; !listed {
			delete(r.entries, name)
			r.changes.add(change{entry: name})
		}
	}
	for id := range r.groups {
		if !hasGroup(inv, id) {
			delete(r.groups, id)
		}
	}
}

func hasGroup(inv *inventory.Inventory, id group.ID) bool {
	for _, service := range inv.Services {
		if service.Name == id.Service {
			return int(id.Slot) < service.Slots
		}
	}
	return false
}

func (r *Roster) setServers(now time.Time, inv *inventory.Inventory) {
	listed := make(map[group.ServerID]inventory.DataCentre)
	for _, service := range inv.Services {
		for _, database := range service.Databases {
			listed[group.ServerID{Service: service.Name, Server: database.Name}] = database.DataCentre
		}
	}
	for id, server := range r.servers {
		if _, found := listed[id]; !found {
			delete(r.servers, id)
			server.Health = protocol.HealthUnknown
			r.addUnknown(server)
			r.changes.add(change{server: id})
		}
	}
	for id, dc := range listed {
		r.addListed(now, id, dc)
	}
}

// addListed adds a server that the inventory lists and keeps what it announced before it was listed.
func (r *Roster) addListed(now time.Time, id group.ServerID, dc inventory.DataCentre) {
	server := r.servers[id]
	if server == nil {
		server = r.unknown[id]
		delete(r.unknown, id)
	}
	if server == nil {
		server = &Server{ID: id, Health: protocol.HealthSilent}
	}
	r.servers[id] = server
	server.DataCentre = dc
	if !server.AnnouncedAt.IsZero() {
		r.updateHealth(now, server)
	}
}

// addUnknown adds a server that the inventory does not list. If there are too many, it replaces the one whose last
// announcement is oldest.
func (r *Roster) addUnknown(server *Server) {
	if len(r.unknown) >= r.cfg.MaxUnknownServers {
		var oldest *Server
		for _, other := range r.unknown {
			if oldest == nil || other.AnnouncedAt.Before(oldest.AnnouncedAt) {
				oldest = other
			}
		}
		delete(r.unknown, oldest.ID)
	}
	r.unknown[server.ID] = server
}

// SetGroup publishes the configuration of a group; outdated configurations are ignored.
func (r *Roster) SetGroup(now time.Time, configuration group.Configuration) {
	id := configuration.Group
	old, found := r.groups[id]
	stale := old.Term > configuration.Term || (old.Term == configuration.Term && old.Primary != "")
	if found && (stale || old == configuration) {
		return
	}
	r.groups[id] = configuration
	r.changes.add(change{group: id})
	r.primaryChangedAt[id.Service] = now
}

// SetFailsWith publishes which servers tend to fail together with the given one.
func (r *Roster) SetFailsWith(id group.ServerID, names []group.Server) {
	server := r.servers[id]
	if server == nil || slices.Equal(server.FailsWith, names) {
		return
	}
	server.FailsWith = names
	r.changes.add(change{server: id})
}
