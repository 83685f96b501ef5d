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

// maxWait bounds how long a reply is held back for a change.
const maxWait = time.Second

// TopologySource gives the part of the configuration that control learns.
type TopologySource interface {
	// Topology returns what has changed since a version, nil when nothing has.
	Topology(since protocol.TopologyVersion) *protocol.Topology
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// EntryObserver learns of entries from their renewals; it is called only while this process leads.
type EntryObserver interface {
	HandleEntryReport(report protocol.EntryReport)
}

// Ledger is the replicated state, with what the renewals need of the leadership.
type Ledger interface {
	catalog.Ledger
	// Leader returns the leader that this member knows of.
	Leader() (journal.Member, bool)
}

// Config is what the renewals need.
type Config struct {
	Ledger   Ledger
	Topology TopologySource
	Observer EntryObserver
	Events   *events.Recorder
}

// Service answers renewals.
type Service struct {
	cfg Config

	mu     sync.Mutex
	term   journal.Term
	grants *lease.Grants
	deltas deltaCache
	// reported is closed at the next renewal that may put a revision in force.
	reported chan struct{}
}

// New registers the handler of renewals.
func New(cfg Config, endpoint *link.Endpoint) *Service {
	s := &Service{cfg: cfg, reported: make(chan struct{})}
	endpoint.Handle(protocol.KindRenew, s.onRenew)
	return s
}

func (s *Service) onRenew(ctx context.Context, peer identity.Peer, request protocol.Frame) (any, error) {
	received := time.Now()
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries hold configuration leases"}
	}
	var body protocol.RenewRequest
	if err := protocol.Decode(request.Body, &body); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	term, err := s.leading()
	if err != nil {
		return nil, err
	}
	s.report(term, received, body.Entries)
	topology := s.awaitChange(ctx, body)
	if now, err := s.leading(); err != nil || now != term {
		return nil, s.notLeader()
	}
	return s.reply(received, body, topology), nil
}

// leading refuses unless this process leads and no other can.
func (s *Service) leading() (journal.Term, error) {
	term, leads := s.cfg.Ledger.Leading()
	if !leads {
		return 0, s.notLeader()
	}
	return term, nil
}

func (s *Service) notLeader() error {
	refusal := &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	if leader, known := s.cfg.Ledger.Leader(); known {
		refusal.Leader = leader.Address
	}
	return refusal
}

// report takes in what entries say of themselves.
func (s *Service) report(term journal.Term, received time.Time, entries []protocol.EntryReport) {
	s.mu.Lock()
	s.follow(term, received)
	for _, entry := range entries {
		s.grants.ReportApplied(entry.Name, entry.Applied)
	}
	close(s.reported)
	s.reported = make(chan struct{})
	s.mu.Unlock()
	for _, entry := range entries {
		s.cfg.Observer.HandleEntryReport(entry)
	}
}

// follow begins a new record of leases in a new term; the caller holds the lock.
func (s *Service) follow(term journal.Term, now time.Time) {
	if s.grants == nil || s.term != term {
		s.term = term
		s.grants = lease.NewGrants(now, lease.Duration)
	}
}

// awaitChange waits until there is something new for the requester, or for as long as it allows.
func (s *Service) awaitChange(ctx context.Context, body protocol.RenewRequest) *protocol.Topology {
	ctx, cancel := context.WithTimeout(ctx, min(body.Wait, maxWait))
	defer cancel()
	for {
		state, topology := s.cfg.Ledger.Changed(), s.cfg.Topology.Changed()
		changes := s.cfg.Topology.Topology(body.Topology)
		if changes != nil || s.cfg.Ledger.State().Revision() != body.Inventory {
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

func (s *Service) reply(received time.Time, body protocol.RenewRequest, topology *protocol.Topology) protocol.RenewReply {
	state := s.cfg.Ledger.State()
	reply := protocol.RenewReply{Revision: state.Revision(), Topology: topology}
	if reply.Revision == 0 || reply.Revision < body.Inventory {
		return reply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Revision > body.Inventory {
		reply.Delta = s.deltas.lead(state, body.Inventory)
	}
	for _, entry := range body.Entries {
		reply.LeaseFor = s.grants.Grant(entry.Name, received, reply.Revision)
	}
	return reply
}

// deltaCache holds the deltas that lead to the newest revision.
type deltaCache struct {
	to   inventory.Revision
	from map[inventory.Revision]*inventory.Delta
}

// lead returns the delta from a revision; from one that is no longer held it leads from the empty inventory.
func (c *deltaCache) lead(state *catalog.State, from inventory.Revision) *inventory.Delta {
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
