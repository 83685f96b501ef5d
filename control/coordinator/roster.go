package coordinator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/journal"
)

// Periods of announcements after which a database counts as silent, and is forgotten.
const (
	settlePeriods = 3
	forgetPeriods = 12
)

// known is one database with the time of its last announcement.
type known struct {
	fleet.Server
	heard time.Time
}

// roster is what one leader has heard of databases.
type roster struct {
	period time.Duration

	mu      sync.Mutex
	version fleet.RosterVersion
	began   time.Time
	servers map[group.Server]known
	// appointed is when this leader last made a server the primary of its service.
	appointed map[group.Service]time.Time
}

// newRoster returns the roster of a leader that starts from what its predecessors have recorded.
func newRoster(term journal.Term, period time.Duration, recorded map[group.Server]fleet.Server, now time.Time) *roster {
	r := &roster{
		period: period, version: fleet.RosterVersion{Term: term, Number: 1}, began: now,
		servers: make(map[group.Server]known), appointed: make(map[group.Service]time.Time),
	}
	for name, s := range recorded {
		r.servers[name] = known{Server: s, heard: now}
	}
	return r
}

// unrecorded returns what has changed against the record; the numbers of announcements are not recorded.
func (r *roster) unrecorded(recorded map[group.Server]fleet.Server) []fleet.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []fleet.Server
	for name, s := range r.servers {
		s.Sequence = 0
		old, found := recorded[name]
		if s.Gone && found || !s.Gone && old != s.Server {
			changed = append(changed, s.Server)
		}
	}
	for name := range recorded {
		if _, found := r.servers[name]; !found {
			changed = append(changed, fleet.Server{Name: name, Gone: true})
		}
	}
	return changed
}

// announce takes in what a database says of itself and reports whether anything that entries see has changed.
func (r *roster) announce(now time.Time, s fleet.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, found := r.servers[s.Name]
	if found && !s.Supersedes(old.Server) {
		return false
	}
	if s.Gone {
		if !found {
			return false
		}
		old.Gone = true
		r.servers[s.Name] = old
		r.version.Number++
		return true
	}
	for name, other := range r.servers {
		if name == s.Name || other.Address != s.Address || other.Gone {
			continue
		}
		if other.Incarnation > s.Incarnation {
			return false
		}
		// The address was given to another database, so the former one has ended.
		other.Gone = true
		r.servers[name] = other
	}
	if now.Sub(r.appointed[s.Service]) < r.period/2 {
		// What a database says of its role may be older than the appointment.
		s.Primary = old.Primary
	}
	r.servers[s.Name] = known{Server: s, heard: now}
	before := old.Server
	before.Sequence = s.Sequence
	if found && before == s {
		return false
	}
	r.version.Number++
	return true
}

// appoint notes which database leads its service now.
func (r *roster) appoint(now time.Time, service group.Service, server group.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appointed[service] = now
	for name, s := range r.servers {
		if s.Service == service {
			s.Primary = name == server
			r.servers[name] = s
		}
	}
	r.version.Number++
}

// bump makes a new version for a change beside the databases.
func (r *roster) bump() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version.Number++
}

// expire forgets databases that have been silent for long and reports whether there were any.
func (r *roster) expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, s := range r.servers {
		if now.Sub(s.heard) > forgetPeriods*r.period {
			delete(r.servers, name)
			changed = changed || !s.Gone
		}
	}
	if changed {
		r.version.Number++
	}
	return changed
}

// current returns the version and whether the leader has led for long enough to have heard of every live database.
func (r *roster) current(now time.Time) (fleet.RosterVersion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	settled := now.Sub(r.began) > settlePeriods*r.period
	version := r.version
	if settled {
		// A roster that is no longer partial is another one.
		version.Number += 1 << 32
	}
	return version, settled
}

// snapshot returns the databases, ordered by name.
func (r *roster) snapshot(now time.Time, entries []fleet.Entry) fleet.Roster {
	version, settled := r.current(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	out := fleet.Roster{Version: version, Partial: !settled, Entries: entries}
	for _, s := range r.servers {
		if !s.Gone {
			out.Servers = append(out.Servers, s.Server)
		}
	}
	slices.SortFunc(out.Servers, func(a, b fleet.Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// services returns the live databases by service.
func (r *roster) services() map[group.Service][]known {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[group.Service][]known)
	for _, s := range r.servers {
		if !s.Gone {
			out[s.Service] = append(out[s.Service], s)
		}
	}
	return out
}
