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

// forgetInterval is how often the state of silent entries is removed.
const forgetInterval = 3 * time.Minute

// Ledger provides the replicated state and the current leader.
type Ledger interface {
	catalog.Ledger
	// Leader returns the last known leader.
	Leader() (journal.Member, bool)
}

// Roster lists the entries that have announced themselves.
type Roster interface {
	Entries() []protocol.EntryState
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Service holds the connection budgets of the term in which this process leads.
type Service struct {
	ledger Ledger
	roster Roster

	mu        sync.Mutex
	leader    *placement.Leader
	term      journal.Term
	inventory *inventory.Inventory
	revision  inventory.Revision
	// entries are those that may be homes; unannounced ones are added once they send a request.
	entries     []placement.Entry
	unannounced map[inventory.InstanceName]placement.Entry
	lastForget  time.Time
}

// New registers the handler for budget requests; Run keeps the service up to date.
func New(ledger Ledger, roster Roster, endpoint *link.Endpoint) *Service {
	s := &Service{ledger: ledger, roster: roster}
	endpoint.Handle(protocol.KindBudget, s.Handle)
	return s
}

// Run applies changes of the leadership, the inventory and the roster until the context ends.
func (s *Service) Run(ctx context.Context) error {
	forget := time.NewTicker(forgetInterval)
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
	s.syncTerm(term, now)
	s.updateEntries()
	if now.Sub(s.lastForget) >= forgetInterval {
		s.leader.RemoveExpired(now)
		s.lastForget = now
	}
}

// Handle answers a budget request, after it has checked that this process holds the leader lease.
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
		return nil, s.notLeaderRefusal()
	}
	s.syncTerm(term, now)
	s.addUnannounced(request.Entry)
	reply, answered := s.leader.Handle(now, &request)
	if !answered {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: "this request or a newer one was answered before"}
	}
	return reply, nil
}

func (s *Service) notLeaderRefusal() error {
	refusal := &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "this control process does not lead"}
	if leader, known := s.ledger.Leader(); known {
		refusal.Leader = leader.Address
	}
	return refusal
}

// syncTerm resets the budgets in a new term and applies a new inventory; the caller holds the lock.
//
// No leader grants anything before the first inventory, so only a term that starts before it may ignore earlier grants.
func (s *Service) syncTerm(term journal.Term, now time.Time) {
	state := s.ledger.State()
	if s.leader == nil || s.term != term {
		s.leader = placement.NewLeader(placement.DefaultSettings(), now, state.Revision() == 0)
		s.term, s.inventory, s.revision = term, nil, 0
		s.entries, s.unannounced, s.lastForget = nil, nil, now
	}
	if state.Revision() == s.revision {
		return
	}
	s.revision, s.inventory = state.Revision(), state.Inventory()
	s.leader.SetDatabases(placementDatabases(s.inventory))
	s.updateEntries()
}

// updateEntries applies the list of entries that take new work; the caller holds the lock.
func (s *Service) updateEntries() {
	if s.inventory == nil {
		return
	}
	regions := regionsByDataCentre(s.inventory)
	s.unannounced = make(map[inventory.InstanceName]placement.Entry, len(s.inventory.Instances))
	for _, instance := range s.inventory.Instances {
		s.unannounced[instance.Name] = placement.Entry{
			Name: instance.Name, DataCentre: instance.DataCentre, Region: regions[instance.DataCentre],
		}
	}
	var entries []placement.Entry
	for _, state := range s.roster.Entries() {
		delete(s.unannounced, state.Name)
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

// addUnannounced counts an entry as live that sends a request before the roster of a new leader has its announcement; the caller
// holds the lock.
func (s *Service) addUnannounced(name inventory.InstanceName) {
	entry, found := s.unannounced[name]
	if !found {
		return
	}
	delete(s.unannounced, name)
	s.entries = append(s.entries, entry)
	s.leader.SetEntries(s.entries)
}

func placementDatabases(inv *inventory.Inventory) []placement.Database {
	regions := regionsByDataCentre(inv)
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

func regionsByDataCentre(inv *inventory.Inventory) map[inventory.DataCentre]inventory.RegionName {
	regions := make(map[inventory.DataCentre]inventory.RegionName)
	for _, region := range inv.Regions {
		for _, dataCentre := range region.DataCentres {
			regions[dataCentre] = region.Name
		}
	}
	return regions
}
