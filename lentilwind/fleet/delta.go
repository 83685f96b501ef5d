package fleet

import (
	"cmp"
	"slices"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// maxChanges is how many changes a ChangeLog holds. An entry that has missed more gets the whole roster.
const maxChanges = 1024

// change is one server or entry that changed with a version; the other name is empty.
type change struct {
	number uint64
	server group.Server
	entry  inventory.InstanceName
}

// ChangeLog holds the latest changes of one leader's roster, from which it derives deltas.
//
// It answers the load of restarts: with 100 entries, a whole roster to each of them at every start and stop of one is most of control's
// traffic. The zero value is empty.
type ChangeLog struct {
	changes []change
	// dropped is the newest version whose changes are no longer held.
	dropped uint64
}

// RecordServer records that a server changed with a version.
func (l *ChangeLog) RecordServer(number uint64, name group.Server) {
	l.record(change{number: number, server: name})
}

// RecordEntry records that an entry changed with a version.
func (l *ChangeLog) RecordEntry(number uint64, name inventory.InstanceName) {
	l.record(change{number: number, entry: name})
}

func (l *ChangeLog) record(c change) {
	l.changes = append(l.changes, c)
	if len(l.changes) > maxChanges {
		half := len(l.changes) / 2
		l.dropped = l.changes[half-1].number
		l.changes = append([]change(nil), l.changes[half:]...)
	}
}

// Delta returns what changed from a version of the same term to the complete roster, and false if the changes are not held any more.
func (l *ChangeLog) Delta(base RosterVersion, full Roster) (Roster, bool) {
	if base.Number < l.dropped || base.Number == 0 {
		return Roster{}, false
	}
	servers, entries := make(map[group.Server]bool), make(map[inventory.InstanceName]bool)
	for _, c := range l.changes {
		if c.number <= base.Number {
			continue
		}
		if c.server != "" {
			servers[c.server] = true
		} else {
			entries[c.entry] = true
		}
	}
	delta := Roster{Version: full.Version, Partial: full.Partial, Base: base}
	for _, s := range full.Servers {
		if servers[s.Name] {
			delta.Servers = append(delta.Servers, s)
			delete(servers, s.Name)
		}
	}
	for _, e := range full.Entries {
		if entries[e.Name] {
			delta.Entries = append(delta.Entries, e)
			delete(entries, e.Name)
		}
	}
	delta.RemovedServers = sortedKeys(servers)
	delta.RemovedEntries = sortedKeys(entries)
	return delta, true
}

func sortedKeys[K cmp.Ordered](set map[K]bool) []K {
	var keys []K
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Apply returns the complete roster after a delta, and false if the delta is based on another version than this roster.
func (r Roster) Apply(delta Roster) (Roster, bool) {
	if delta.Base == (RosterVersion{}) {
		return delta, true
	}
	if delta.Base != r.Version {
		return r, false
	}
	next := Roster{Version: delta.Version, Partial: delta.Partial}
	next.Servers = merge(r.Servers, delta.Servers, delta.RemovedServers, func(s Server) group.Server { return s.Name })
	next.Entries = merge(r.Entries, delta.Entries, delta.RemovedEntries, func(e Entry) inventory.InstanceName { return e.Name })
	return next, true
}

// merge replaces and adds the changed items, drops the removed ones, and returns the rest ordered by name.
func merge[T any, K cmp.Ordered](current, changed []T, removed []K, name func(T) K) []T {
	out := slices.Clone(changed)
	replaced := make(map[K]bool, len(changed)+len(removed))
	for _, item := range changed {
		replaced[name(item)] = true
	}
	for _, key := range removed {
		replaced[key] = true
	}
	for _, item := range current {
		if !replaced[name(item)] {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
