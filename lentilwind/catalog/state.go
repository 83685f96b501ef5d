package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// State is an immutable version of the replicated state; the zero value is the empty state.
type State struct {
	index   journal.Index
	parsed  *inventory.Inventory
	records []protocol.InventoryRecord
	groups  map[group.ID]group.Configuration
	// addresses holds, by group, the address at which the primary accepted connections when it was named.
	addresses  map[group.ID]string
	operations operationLog
	failures   failureCounts
}

// Index returns the journal index of the last applied command.
func (s *State) Index() journal.Index { return s.index }

// Revision returns the revision of the accepted inventory, 0 before the first.
func (s *State) Revision() inventory.Revision {
	if len(s.records) == 0 {
		return 0
	}
	return s.records[len(s.records)-1].Revision
}

// Inventory returns the accepted inventory, nil before the first; the caller must not modify it.
func (s *State) Inventory() *inventory.Inventory { return s.parsed }

// Record returns the accepted inventory with a revision; the document of an old one is empty.
func (s *State) Record(revision inventory.Revision) (protocol.InventoryRecord, bool) {
	i, found := slices.BinarySearchFunc(s.records, revision, func(r protocol.InventoryRecord, revision inventory.Revision) int {
		return cmp.Compare(r.Revision, revision)
	})
	if !found {
		return protocol.InventoryRecord{}, false
	}
	return s.records[i], true
}

// History returns the accepted inventories without their documents, newest last.
func (s *State) History() []protocol.InventoryRecord {
	history := make([]protocol.InventoryRecord, 0, len(s.records))
	for _, record := range s.records {
		record.Document = ""
		history = append(history, record)
	}
	return history
}

// Group returns the configuration of one group; a group that was never set has term 0 and no primary.
func (s *State) Group(id group.ID) group.Configuration {
	if configuration, found := s.groups[id]; found {
		return configuration
	}
	return group.Configuration{Group: id}
}

// PrimaryAddress returns the address at which the primary of a group accepted connections when it was named; empty if unknown.
func (s *State) PrimaryAddress(id group.ID) string { return s.addresses[id] }

// Groups returns the configurations of all groups that were ever set, sorted by group.
func (s *State) Groups() []group.Configuration {
	return slices.SortedFunc(maps.Values(s.groups), func(a, b group.Configuration) int {
		return a.Group.Compare(b.Group)
	})
}

// Failures returns the number of recorded failures of a server.
func (s *State) Failures(server group.Server) uint32 { return s.failures.servers[server] }

// JointFailures returns how often two servers were recorded as having failed at the same time.
func (s *State) JointFailures(a, b group.Server) uint32 {
	return s.failures.pairs[newPair(a, b)].count
}

// FailedWith returns the servers that were recorded as having failed at the same time as one server, sorted by name.
func (s *State) FailedWith(server group.Server) []group.Server { return s.failures.failedWith(server) }

// Apply returns the state after a command and the command's result; s is not modified.
func (s *State) Apply(index journal.Index, command Command) (*State, Result) {
	next := *s
	next.index = index
	switch {
	case command.ApplyInventory != nil:
		return &next, next.applyInventory(*command.ApplyInventory)
	case command.SetGroup != nil:
		return &next, next.setGroup(*command.SetGroup)
	case command.RecordFailure != nil:
		next.failures = next.failures.record(*command.RecordFailure)
		return &next, Result{Outcome: OutcomeAccepted}
	}
	return &next, Result{Outcome: OutcomeInvalid, Message: "the command is of a kind that this build does not know"}
}

// setGroup modifies a copy of the group map, because earlier versions of the state share the map.
func (s *State) setGroup(command SetGroup) Result {
	proposed := command.Configuration
	current := s.Group(proposed.Group)
	if current == proposed {
		return Result{Outcome: OutcomeAccepted, Configuration: &current}
	}
	if current.Term != command.ExpectedTerm {
		message := fmt.Sprintf("group %s is at term %d, not %d", proposed.Group, current.Term, command.ExpectedTerm)
		return Result{Outcome: OutcomeConflict, Message: message, Configuration: &current}
	}
	namesPrimary := proposed.Term == current.Term && current.Primary == ""
	if proposed.Term <= current.Term && !namesPrimary {
		message := fmt.Sprintf("group %s already has primary %q in term %d", proposed.Group, current.Primary, current.Term)
		return Result{Outcome: OutcomeConflict, Message: message, Configuration: &current}
	}
	groups := make(map[group.ID]group.Configuration, len(s.groups)+1)
	maps.Copy(groups, s.groups)
	groups[proposed.Group] = proposed
	s.groups = groups
	s.setAddress(proposed.Group, command.Address)
	return Result{Outcome: OutcomeAccepted, Configuration: &proposed}
}

// setAddress modifies a copy of the map; a term without a primary keeps the address of the previous primary.
func (s *State) setAddress(id group.ID, address string) {
	if address == "" || s.addresses[id] == address {
		return
	}
	s.addresses = cloneMap(s.addresses)
	s.addresses[id] = address
}
