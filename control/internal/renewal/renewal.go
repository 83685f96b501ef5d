package renewal

import (
	"context"
	"sync"
	"time"

	"lentilwind.dev/instance/events"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/lease"
	"lentilwind.dev/lentilwind/protocol"
)

// maxWait limits how long a reply is delayed until there is a change.
const maxWait = time.Second

// TopologySource provides the topology, the part of the configuration that control determines at run time.
type TopologySource interface {
	// Topology returns the changes since a version, or nil if there are none.
	Topology(since protocol.TopologyVersion) *protocol.Topology
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// EntryObserver receives the reports in entries' renewals; it is called only while this process leads.
type EntryObserver interface {
	HandleEntryReport(report protocol.EntryReport)
}

// Ledger provides the replicated state and the current leader.
type Ledger interface {
	catalog.Ledger
	// Leader returns the last known leader.
	Leader() (journal.Member, bool)
}

// Config holds the dependencies of a Service.
type Config struct {
	Ledger   Ledger
	Topology TopologySource
	Observer EntryObserver
	Events   *events.Recorder
}

// Service answers lease renewals of entries.
type Service struct {
	cfg Config

	mu     sync.Mutex
	term   journal.Term
	grants *lease.Grants
	deltas deltaCache
	// reportReceived is closed at the next renewal, which may put a revision in force.
	reportReceived chan struct{}
}

// New registers the handler for renewals.
func New(cfg Config, endpoint *link.Endpoint) *Service {
	s := &Service{cfg: cfg, reportReceived: make(chan struct{})}
	endpoint.Handle(protocol.KindRenew, s.handleRenew)
	return s
}

func (s *Service) handleRenew(ctx context.Context, peer identity.Peer, frame protocol.Frame) (any, error) {
	received := time.Now()
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries hold configuration leases"}
	}
	var request protocol.RenewRequest
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	term, err := s.leaderTerm()
	if err != nil {
		return nil, err
	}
	s.recordReports(term, received, request.Entries)
	topology := s.awaitChange(ctx, request)
	if now, err := s.leaderTerm(); err != nil || now != term {
		return nil, s.notLeaderRefusal()
	}
	return s.buildReply(received, request, topology), nil
}

// leaderTerm returns the term, or an error unless this process holds the leader lease.
func (s *Service) leaderTerm() (journal.Term, error) {
	term, leads := s.cfg.Ledger.Leading()
	if !leads {
		return 0, s.notLeaderRefusal()
	}
	return term, nil
}

func (s *Service) notLeaderRefusal() error {
	refusal := &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	if leader, known := s.cfg.Ledger.Leader(); known {
		refusal.Leader = leader.Address
	}
	return refusal
}

// recordReports processes the reports of entries.
func (s *Service) recordReports(term journal.Term, received time.Time, entries []protocol.EntryReport) {
	s.mu.Lock()
	s.syncTerm(term, received)
	for _, entry := range entries {
		s.grants.ReportApplied(entry.Name, entry.Applied)
	}
	close(s.reportReceived)
	s.reportReceived = make(chan struct{})
	s.mu.Unlock()
	for _, entry := range entries {
		s.cfg.Observer.HandleEntryReport(entry)
	}
}

// syncTerm resets the leases in a new term; the caller holds the lock.
func (s *Service) syncTerm(term journal.Term, now time.Time) {
	if s.grants == nil || s.term != term {
		s.term = term
		s.grants = lease.NewGrants(now, lease.Duration)
	}
}

// awaitChange waits until the inventory or the topology differs from the requester's, or until its wait time is over.
func (s *Service) awaitChange(ctx context.Context, request protocol.RenewRequest) *protocol.Topology {
	ctx, cancel := context.WithTimeout(ctx, min(request.Wait, maxWait))
	defer cancel()
	for {
		state, topology := s.cfg.Ledger.Changed(), s.cfg.Topology.Changed()
		changes := s.cfg.Topology.Topology(request.Topology)
		if changes != nil || s.cfg.Ledger.State().Revision() != request.Inventory {
			return changes
		}
		select {
		case <-state:
		case <-topology:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Service) buildReply(received time.Time, request protocol.RenewRequest, topology *protocol.Topology) protocol.RenewReply {
	state := s.cfg.Ledger.State()
	reply := protocol.RenewReply{Revision: state.Revision(), Topology: topology}
	if reply.Revision == 0 || reply.Revision < request.Inventory {
		return reply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Revision > request.Inventory {
		reply.Delta = s.deltas.get(state, request.Inventory)
	}
	for _, entry := range request.Entries {
		reply.LeaseDuration = s.grants.Grant(entry.Name, received, reply.Revision)
	}
	return reply
}

// deltaCache caches the deltas to the latest revision.
type deltaCache struct {
	to   inventory.Revision
	from map[inventory.Revision]*inventory.Delta
}

// get returns the delta from a revision; if that one is no longer stored, the delta starts from the empty inventory.
func (c *deltaCache) get(state *catalog.State, from inventory.Revision) *inventory.Delta {
	if c.to != state.Revision() {
		*c = deltaCache{to: state.Revision(), from: make(map[inventory.Revision]*inventory.Delta)}
	}
	if delta := c.from[from]; delta != nil {
		return delta
	}
	delta := deltaFrom(state, from)
	c.from[from] = &delta
	return &delta
}

func deltaFrom(state *catalog.State, from inventory.Revision) inventory.Delta {
	record, found := state.Record(from)
	if found && record.Document != "" {
		if old, err := inventory.Read([]byte(record.Document)); err == nil {
			return inventory.Diff(from, old, state.Revision(), state.Inventory())
		}
	}
	return inventory.Diff(0, nil, state.Revision(), state.Inventory())
}
