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

// Ledger is the replicated state, with what the draws need of the leadership.
type Ledger interface {
	catalog.Ledger
	// Leader returns the leader that this member knows of.
	Leader() (journal.Member, bool)
}

// Service holds the buckets of the term that this process leads in.
type Service struct {
	ledger Ledger

	mu       sync.Mutex
	leader   *quota.Leader
	term     journal.Term
	revision inventory.Revision
}

// New registers the handler of draws.
func New(ledger Ledger, endpoint *link.Endpoint) *Service {
	s := &Service{ledger: ledger}
	endpoint.Handle(protocol.KindDraw, s.onDraw)
	return s
}

// onDraw answers as of a moment at which this process was sure to lead.
func (s *Service) onDraw(_ context.Context, peer identity.Peer, request protocol.Frame) (any, error) {
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries draw quota"}
	}
	var body protocol.DrawRequest
	if err := protocol.Decode(request.Body, &body); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	if string(body.Entry) != peer.Name {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "an entry draws only for itself"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	term, leads := s.ledger.Leading()
	if !leads {
		return nil, s.notLeader()
	}
	s.follow(term, now)
	return s.leader.HandleDraw(&body, now), nil
}

func (s *Service) notLeader() error {
	refusal := &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	if leader, known := s.ledger.Leader(); known {
		refusal.Leader = leader.Address
	}
	return refusal
}

// follow begins new buckets in a new term and takes in a new inventory; the caller holds the lock.
func (s *Service) follow(term journal.Term, now time.Time) {
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
