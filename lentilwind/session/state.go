package session

import (
	"maps"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// State is the minimum state that a session must observe, whichever entry it connects to.
type State struct {
	Workspace inventory.WorkspaceName
	Floors    map[group.ID]group.Floor
	// Partial means that floors were left out to bound the token's size, so the floor of a group that is not listed is unknown.
	Partial bool
}

// Floor returns the floor of a group and whether it is known; a group that the session has never written has a known floor of
// zero.
func (s *State) Floor(id group.ID) (group.Floor, bool) {
	floor, found := s.Floors[id]
	return floor, found || !s.Partial
}

// Raise merges a floor into the state and reports whether the state changed.
func (s *State) Raise(id group.ID, floor group.Floor) bool {
	old, found := s.Floors[id]
	merged := old.Merge(floor)
	if found && merged == old {
		return false
	}
	if s.Floors == nil {
		s.Floors = make(map[group.ID]group.Floor)
	}
	s.Floors[id] = merged
	return true
}

// Merge raises the state to at least the floors of another state of the same workspace.
func (s *State) Merge(other State) {
	for id, floor := range other.Floors {
		s.Raise(id, floor)
	}
	s.Partial = s.Partial || other.Partial
}

// Clone returns a deep copy of the state.
func (s *State) Clone() State {
	return State{Workspace: s.Workspace, Floors: maps.Clone(s.Floors), Partial: s.Partial}
}
