package budget

import (
	"context"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

// forgetEvery is how often what is known of silent entries is dropped.
const forgetEvery = 3 * time.Minute

// Ledger is the replicated state, with what the budgets need of the leadership.
type Ledger interface {
	catalog.Ledger
	// Leader returns the leader that this member knows of.
	Leader() (journal.Member, bool)
}

// Roster knows the entries that announce themselves.
type Roster interface {
	Entries() []protocol.EntryState
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Service holds the budgets of the term that this process leads in.
type Service struct {
	ledger Ledger
	roster Roster

	mu        sync.Mutex
	leader    *placement.Leader
	term      journal.Term
	inventory *inventory.Inventory
	revision  inventory.Revision
	// entries are those that may be homes, missing ones may be homes once they ask.
	entries []placement.Entry
	missing map[inventory.InstanceName]placement.Entry
	forgot  time.Time
}

// New registers the handler of budgets; Run follows the leadership.
func New(ledger Ledger, roster Roster, endpoint *link.Endpoint) *Service {
	s := &Service{ledger: ledger, roster: roster}
	endpoint.Handle(protocol.KindBudget, s.Handle)
	return s
}

// Run follows the leadership, the inventory and the roster until the context ends.
func (s *Service) Run(ctx context.Context) error {
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for {
		state, entries := s.ledger.Changed(), s.roster.Changed()
		s.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-state:
		case <-entries:
		case <-forget.C:
		}
	}
}

func (s *Service) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	term, leads := s.ledger.Leading()
	if !leads {
		return
	}
	s.follow(term, now)
	s.setEntries()
	if now.Sub(s.forgot) >= forgetEvery {
		s.leader.RemoveExpired(now)
		s.forgot = now
	}
}

// Handle answers as of a moment at which this process was sure to lead.
func (s *Service) Handle(_ context.Context, peer identity.Peer, frame protocol.Frame) (any, error) {
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries hold budgets"}
	}
	var request placement.Request
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	if string(request.Entry) != peer.Name {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "an entry asks only for itself"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	term, leads := s.ledger.Leading()
	if !leads {
		return nil, s.notLeader()
	}
	s.follow(term, now)
	s.meet(request.Entry)
	reply, answered := s.leader.Handle(now, &request)
	if !answered {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "this request or a newer one was answered before"}
	}
	return reply, nil
}

func (s *Service) notLeader() error {
	refusal := &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	if leader, known := s.ledger.Leader(); known {
		refusal.Leader = leader.Address
	}
	return refusal
}

// follow begins new accounts in a new term and takes in a new inventory; the caller holds the lock.
//
// No leader has granted anything before the first inventory, so only a term that begins before it begins fresh.
func (s *Service) follow(term journal.Term, now time.Time) {
	state := s.ledger.State()
	if s.leader == nil || s.term != term {
		s.leader = placement.NewLeader(placement.DefaultSettings(), now, state.Revision() == 0)
		s.term, s.inventory, s.revision = term, nil, 0
		s.entries, s.missing, s.forgot = nil, nil, now
	}
	if state.Revision() == s.revision {
		return
	}
	s.revision, s.inventory = state.Revision(), state.Inventory()
	s.leader.SetDatabases(databases(s.inventory))
	s.setEntries()
}

// setEntries takes in the entries that take new work; the caller holds the lock.
func (s *Service) setEntries() {
	if s.inventory == nil {
		return
	}
	regions := regionsOf(s.inventory)
	s.missing = make(map[inventory.InstanceName]placement.Entry, len(s.inventory.Instances))
	for _, instance := range s.inventory.Instances {
		s.missing[instance.Name] = placement.Entry{
			Name: instance.Name, DataCentre: instance.DataCentre, Region: regions[instance.DataCentre],
		}
	}
	var entries []placement.Entry
	for _, state := range s.roster.Entries() {
		delete(s.missing, state.Name)
		if state.Health == protocol.HealthLive {
			entries = append(entries, placement.Entry{
				Name: state.Name, DataCentre: state.DataCentre, Region: regions[state.DataCentre],
			})
		}
	}
	if slices.Equal(entries, s.entries) {
		return
	}
	s.entries = entries
	s.leader.SetEntries(entries)
}

// meet counts an entry as live that asks before the roster of a new leader has heard of it; the caller holds the lock.
func (s *Service) meet(name inventory.InstanceName) {
	entry, found := s.missing[name]
	if !found {
		return
	}
	delete(s.missing, name)
	s.entries = append(s.entries, entry)
	s.leader.SetEntries(s.entries)
}

func databases(inv *inventory.Inventory) []placement.Database {
	regions := regionsOf(inv)
	var list []placement.Database
	for _, service := range inv.Services {
		for _, database := range service.Databases {
			list = append(list, placement.Database{
				ID:         group.ServerID{Service: service.Name, Server: database.Name},
				DataCentre: database.DataCentre, Region: regions[database.DataCentre], Connections: service.Connections,
			})
		}
	}
	return list
}

func regionsOf(inv *inventory.Inventory) map[inventory.DataCentre]inventory.RegionName {
	regions := make(map[inventory.DataCentre]inventory.RegionName)
	for _, region := range inv.Regions {
		for _, dataCentre := range region.DataCentres {
			regions[dataCentre] = region.Name
		}
	}
	return regions
}
