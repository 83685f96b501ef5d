package quota

import (
	"context"
	"sync"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

// Ledger provides the replicated state and the current leader.
type Ledger interface {
	catalog.Ledger
	// Leader returns the last known leader.
	Leader() (journal.Member, bool)
}

// Service holds the token buckets of the term in which this process leads.
type Service struct {
	ledger Ledger

	mu       sync.Mutex
	leader   *quota.Leader
	term     journal.Term
	revision inventory.Revision
}

// New registers the handler for quota draws.
func New(ledger Ledger, endpoint *link.Endpoint) *Service {
	s := &Service{ledger: ledger}
	endpoint.Handle(protocol.KindDraw, s.handleDraw)
	return s
}

// handleDraw answers a draw, after it has checked that this process holds the leader lease.
func (s *Service) handleDraw(_ context.Context, peer identity.Peer, frame protocol.Frame) (any, error) {
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries draw quota"}
	}
	var request protocol.DrawRequest
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	if string(request.Entry) != peer.Name {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "an entry draws only for itself"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	term, leads := s.ledger.Leading()
	if !leads {
		return nil, s.notLeaderRefusal()
	}
	s.syncTerm(term, now)
	return s.leader.HandleDraw(&request, now), nil
}

func (s *Service) notLeaderRefusal() error {
	refusal := &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	if leader, known := s.ledger.Leader(); known {
		refusal.Leader = leader.Address
	}
	return refusal
}

// syncTerm resets the buckets in a new term and applies a new inventory; the caller holds the lock.
func (s *Service) syncTerm(term journal.Term, now time.Time) {
	if s.leader == nil || s.term != term {
		s.leader = quota.NewLeader(quota.DefaultSettings(), uint64(term), quota.Reserves{}, now)
		s.term, s.revision = term, 0
	}
	state := s.ledger.State()
	if state.Revision() == s.revision {
		return
	}
	s.revision = state.Revision()
	inv := state.Inventory()
	entries := make([]inventory.InstanceName, len(inv.Instances))
	for i, instance := range inv.Instances {
		entries[i] = instance.Name
	}
	s.leader.Configure(inv.Workspaces, entries, now)
}
