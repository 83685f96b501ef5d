package roster

import (
	"context"
	"sync"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/roster"
)

// Observer is notified of what the roster receives; it is called without any lock held.
type Observer interface {
	// OnAnnouncement receives every accepted announcement.
	OnAnnouncement(now time.Time, announcement protocol.Announcement)
	// OnEntryReport receives every report of a listed entry.
	OnEntryReport(now time.Time, report protocol.EntryReport)
	// OnServersSilent receives the servers that have stopped announcing themselves.
	OnServersSilent(now time.Time, servers []roster.SilentServer)
}

// Service holds the roster while this process leads; otherwise it is empty and refuses announcements.
//
// Handle is registered for protocol.KindAnnounce, and each renewal's reports are passed to HandleEntryReport. Renewals are answered
// from Topology and wait on Changed while there is nothing new. Package control/internal/failover calls StartTerm and StepDown when
// the leadership changes.
type Service struct {
	cfg roster.Config

	mu       sync.Mutex
	current  *roster.Roster
	observer Observer
	changed  chan struct{}
	version  protocol.TopologyVersion
}

// New returns a service that is not leading.
func New(cfg roster.Config) *Service {
	return &Service{cfg: cfg, changed: make(chan struct{})}
}

// StartTerm starts an empty roster for a leader term; if the term was interrupted, its versions continue.
func (s *Service) StartTerm(now time.Time, term uint64, inv *inventory.Inventory, observer Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := protocol.TopologyVersion{LeaderTerm: term}
	if s.version.LeaderTerm == term {
		first.Count = s.version.Count + 1
	}
	s.current = roster.New(s.cfg, first, now)
	s.current.SetInventory(now, inv)
	s.observer = observer
	s.notify()
}

// StepDown drops the roster when the leadership is lost.
func (s *Service) StepDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.observer = nil, nil
	s.notify()
}

// notify wakes goroutines that wait for a change; the caller holds the lock.
func (s *Service) notify() {
	if s.current != nil {
		version := s.current.Version()
		if version == s.version {
			return
		}
		s.version = version
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// withRoster calls a function with the roster if this process leads, and wakes waiters if the topology has changed.
func (s *Service) withRoster(run func(*roster.Roster)) (Observer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil, false
	}
	run(s.current)
	s.notify()
	return s.observer, true
}

// SetInventory applies the accepted inventory.
func (s *Service) SetInventory(now time.Time, inv *inventory.Inventory) {
	s.withRoster(func(r *roster.Roster) { r.SetInventory(now, inv) })
}

// SetGroup publishes the configuration of a group and returns the topology version that contains it.
func (s *Service) SetGroup(now time.Time, configuration group.Configuration) protocol.TopologyVersion {
	var version protocol.TopologyVersion
	s.withRoster(func(r *roster.Roster) {
		r.SetGroup(now, configuration)
		version = r.Version()
	})
	return version
}

// SetFailsWith publishes which servers tend to fail together with the given one.
func (s *Service) SetFailsWith(id group.ServerID, names []group.Server) {
	s.withRoster(func(r *roster.Roster) { r.SetFailsWith(id, names) })
}

// Tick marks servers and entries that have become silent.
func (s *Service) Tick(now time.Time) {
	var silenced []roster.SilentServer
	observer, leading := s.withRoster(func(r *roster.Roster) { silenced = r.Tick(now) })
	if leading && len(silenced) > 0 {
		observer.OnServersSilent(now, silenced)
	}
}

// Announce processes an announcement; it is refused while this process does not lead.
func (s *Service) Announce(now time.Time, announcement protocol.Announcement) (protocol.AnnounceReply, error) {
	var reply protocol.AnnounceReply
	var outcome roster.Outcome
	observer, leading := s.withRoster(func(r *roster.Roster) { reply, outcome = r.HandleAnnouncement(now, announcement) })
	if !leading {
		return reply, &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	}
	if outcome == roster.OutcomeAccepted {
		observer.OnAnnouncement(now, announcement)
	}
	return reply, nil
}

// Handle answers protocol.KindAnnounce frames that entries forward.
func (s *Service) Handle(_ context.Context, peer identity.Peer, frame protocol.Frame) (any, error) {
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries pass announcements on"}
	}
	var announcement protocol.Announcement
	if err := protocol.Decode(frame.Body, &announcement); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	if err := announcement.Check(); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	return s.Announce(time.Now(), announcement)
}

// HandleEntryReport processes the report of an entry that renews its lease.
func (s *Service) HandleEntryReport(report protocol.EntryReport) {
	now := time.Now()
	listed := false
	observer, leading := s.withRoster(func(r *roster.Roster) {
		r.HandleEntryReport(now, report)
		report, listed = r.EntryReport(report.Name)
	})
	if leading && listed {
		observer.OnEntryReport(now, report)
	}
}

// Topology returns the changes since a version, or nil if there are none or this process does not lead.
func (s *Service) Topology(since protocol.TopologyVersion) *protocol.Topology {
	var topology *protocol.Topology
	s.withRoster(func(r *roster.Roster) { topology = r.Topology(since) })
	return topology
}

// Changed returns a channel that is closed at the next change of the topology or the leadership.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Server returns the state of a listed server.
func (s *Service) Server(id group.ServerID) (roster.Server, bool) {
	var server roster.Server
	found := false
	s.withRoster(func(r *roster.Roster) { server, found = r.Server(id) })
	return server, found
}

// Drained reports whether every live entry uses at least the given topology and has no transaction of an older term left in the group.
func (s *Service) Drained(id group.ID, version protocol.TopologyVersion) bool {
	drained := false
	s.withRoster(func(r *roster.Roster) { drained = r.Drained(id, version) })
	return drained
}

// Servers returns the state of all servers, including announced ones that the inventory does not list.
func (s *Service) Servers() []protocol.ServerState {
	var servers []protocol.ServerState
	s.withRoster(func(r *roster.Roster) { servers = r.Servers() })
	return servers
}

// Entries returns the state of all entries.
func (s *Service) Entries() []protocol.EntryState {
	var entries []protocol.EntryState
	s.withRoster(func(r *roster.Roster) { entries = r.Entries() })
	return entries
}
