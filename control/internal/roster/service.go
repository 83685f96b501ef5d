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

// Observer learns what the roster hears; it is called without any lock held.
type Observer interface {
	// OnAnnouncement gets every accepted announcement.
	OnAnnouncement(now time.Time, announcement protocol.Announcement)
	// OnEntryReport gets every report of a listed entry.
	OnEntryReport(now time.Time, report protocol.EntryReport)
	// OnServersSilent gets the servers that stopped to announce themselves.
	OnServersSilent(now time.Time, servers []roster.SilentServer)
}

// Service holds the roster while this process leads; when it does not, it knows nothing and refuses announcements.
//
// The wiring of the program registers Handle for protocol.KindAnnounce and passes each renewal's reports to HandleEntryReport. It answers
// a renewal from Topology, and waits on Changed when there is nothing to tell. Package control/internal/failover calls
// StartTerm and StepDown as the leadership changes.
type Service struct {
	cfg roster.Config

	mu       sync.Mutex
	current  *roster.Roster
	observer Observer
	changed  chan struct{}
	version  protocol.TopologyVersion
}

// New returns a service that does not lead.
func New(cfg roster.Config) *Service {
	return &Service{cfg: cfg, changed: make(chan struct{})}
}

// StartTerm starts an empty roster for a leader term; a term that was interrupted goes on with newer versions.
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
	s.signal()
}

// StepDown drops the roster when the leadership is lost.
func (s *Service) StepDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.observer = nil, nil
	s.signal()
}

// signal wakes those that wait for a change; the lock is held.
func (s *Service) signal() {
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

// with runs a function on the roster of the leader and wakes waiters if it changed the topology.
func (s *Service) with(run func(*roster.Roster)) (Observer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil, false
	}
	run(s.current)
	s.signal()
	return s.observer, true
}

// SetInventory takes in the accepted inventory.
func (s *Service) SetInventory(now time.Time, inv *inventory.Inventory) {
	s.with(func(r *roster.Roster) { r.SetInventory(now, inv) })
}

// SetGroup publishes the configuration of a group and returns the topology version that holds it.
func (s *Service) SetGroup(now time.Time, configuration group.Configuration) protocol.TopologyVersion {
	var version protocol.TopologyVersion
	s.with(func(r *roster.Roster) {
		r.SetGroup(now, configuration)
		version = r.Version()
	})
	return version
}

// SetFailsWith publishes which servers tend to vanish together with one.
func (s *Service) SetFailsWith(id group.ServerID, names []group.Server) {
	s.with(func(r *roster.Roster) { r.SetFailsWith(id, names) })
}

// Tick marks what has gone silent.
func (s *Service) Tick(now time.Time) {
	var silenced []roster.SilentServer
	observer, leading := s.with(func(r *roster.Roster) { silenced = r.Tick(now) })
	if leading && len(silenced) > 0 {
		observer.OnServersSilent(now, silenced)
	}
}

// Announce takes in an announcement; it is refused while this process does not lead.
func (s *Service) Announce(now time.Time, announcement protocol.Announcement) (protocol.AnnounceReply, error) {
	var reply protocol.AnnounceReply
	var outcome roster.Outcome
	observer, leading := s.with(func(r *roster.Roster) { reply, outcome = r.HandleAnnouncement(now, announcement) })
	if !leading {
		return reply, &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	}
	if outcome == roster.OutcomeAccepted {
		observer.OnAnnouncement(now, announcement)
	}
	return reply, nil
}

// Handle answers frames of protocol.KindAnnounce that entries pass on.
func (s *Service) Handle(_ context.Context, peer identity.Peer, frame protocol.Frame) (any, error) {
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries pass announcements on"}
	}
	var announcement protocol.Announcement
	if err := protocol.Decode(frame.Body, &announcement); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	return s.Announce(time.Now(), announcement)
}

// HandleEntryReport takes in the report of an entry that renews its lease.
func (s *Service) HandleEntryReport(report protocol.EntryReport) {
	now := time.Now()
	listed := false
	observer, leading := s.with(func(r *roster.Roster) {
		r.HandleEntryReport(now, report)
		report, listed = r.EntryReport(report.Name)
	})
	if leading && listed {
		observer.OnEntryReport(now, report)
	}
}

// Topology returns what has changed since a version; nil when nothing has or this process does not lead.
func (s *Service) Topology(since protocol.TopologyVersion) *protocol.Topology {
	var topology *protocol.Topology
	s.with(func(r *roster.Roster) { topology = r.Topology(since) })
	return topology
}

// Changed returns a channel that is closed at the next change of the topology or the leadership.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Server returns what is known of a listed server.
func (s *Service) Server(id group.ServerID) (roster.Server, bool) {
	var server roster.Server
	found := false
	s.with(func(r *roster.Roster) { server, found = r.Server(id) })
	return server, found
}

// Drained tells whether every live entry has ended its transactions older than a topology in a group.
func (s *Service) Drained(id group.ID, version protocol.TopologyVersion) bool {
	drained := false
	s.with(func(r *roster.Roster) { drained = r.Drained(id, version) })
	return drained
}

// Servers returns the state of all servers, the unknown ones included.
func (s *Service) Servers() []protocol.ServerState {
	var servers []protocol.ServerState
	s.with(func(r *roster.Roster) { servers = r.Servers() })
	return servers
}

// Entries returns the state of all entries.
func (s *Service) Entries() []protocol.EntryState {
	var entries []protocol.EntryState
	s.with(func(r *roster.Roster) { entries = r.Entries() })
	return entries
}
