package coordinator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/claim"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
)

// Limits in announcement intervals: the roster is partial for the first settleIntervals of a term, and a database is removed after
// forgetIntervals without an announcement.
const (
	settleIntervals = 3
	forgetIntervals = 12
)

// settledVersion is set in the number of a version of a complete roster.
const settledVersion = 1 << 32

// serverRecord is one database with the time of its last announcement.
type serverRecord struct {
	fleet.Server
	lastAnnounced time.Time
	// leavingSince is when this leader heard that the database leaves; zero if it is not leaving, or if a former leader heard of it.
	leavingSince time.Time
}

// roster holds the databases that have announced themselves to one leader.
type roster struct {
	announceInterval time.Duration

	mu        sync.Mutex
	version   fleet.RosterVersion
	startedAt time.Time
	servers   map[group.Server]serverRecord
	changes   fleet.ChangeLog
	claims    *claim.Claims[claimant]
	// promotedAt is when this leader last promoted a server of a service.
	promotedAt map[group.Service]time.Time
	// cold holds the cold servers of the version coldVersion, by name.
	cold        []coldServer
	coldVersion uint64
}

// coldServer is a database that has started recently.
type coldServer struct {
	name    group.Server
	service group.Service
}

// coldServers returns the cold databases in order. The slice must not be modified.
func (r *roster) coldServers() []coldServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coldVersion == r.version.Number {
		return r.cold
	}
	r.coldVersion, r.cold = r.version.Number, nil
	for name, s := range r.servers {
		if s.Cold && !s.Gone {
			r.cold = append(r.cold, coldServer{name: name, service: s.Service})
		}
	}
	slices.SortFunc(r.cold, func(a, b coldServer) int { return cmp.Compare(a.name, b.name) })
	return r.cold
}

// newRoster returns the roster of a new leader, filled from the servers recorded by its predecessors.
func newRoster(term journal.Term, announceInterval time.Duration, recorded map[group.Server]fleet.Server, now time.Time) *roster {
	r := &roster{
		announceInterval: announceInterval, version: fleet.RosterVersion{Term: term, Number: 1}, startedAt: now,
		servers: make(map[group.Server]serverRecord), promotedAt: make(map[group.Service]time.Time),
		claims: claim.New[claimant](claim.ForInterval(announceInterval)),
	}
	for name, s := range recorded {
		r.servers[name] = serverRecord{Server: s, lastAnnounced: now}
	}
	return r
}

// pendingChanges returns the servers that differ from the recorded ones; announcement sequence numbers are not recorded.
func (r *roster) pendingChanges(recorded map[group.Server]fleet.Server) []fleet.Server {
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

// unrecordedLeaving returns a database that leaves as it is to be recorded, and false if that was recorded before.
func (r *roster) unrecordedLeaving(name group.Server, recorded map[group.Server]fleet.Server) (fleet.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, found := r.servers[name]
	if !found || !s.Leaving || s.Gone {
		return fleet.Server{}, false
	}
	old, found := recorded[name]
	if found && old.Leaving && old.Incarnation == s.Incarnation {
		return fleet.Server{}, false
	}
	s.Sequence = 0
	return s.Server, true
}

// claimant identifies the writer of an announcement that contradicts a recorded one.
type claimant struct {
	name        group.Server
	service     group.Service
	address     string
	incarnation int64
}

// announcementResult tells what became of an announcement.
type announcementResult string

const (
	announcementUnchanged announcementResult = "unchanged"
	// announcementChanged means that something that entries see has changed.
	announcementChanged announcementResult = "changed"
	// announcementHeld means that the name or the address is in use by another writer that still announces itself.
	announcementHeld announcementResult = "held"
)

// announce records a database's announcement.
func (r *roster) announce(now time.Time, s fleet.Server) announcementResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, found := r.servers[s.Name]
	if s.Gone {
		if !found || !s.Supersedes(old.Server) {
			return announcementUnchanged
		}
		old.Gone = true
		r.servers[s.Name] = old
		r.recordChange(s.Name)
		return announcementChanged
	}
	if found && old.Incarnation == s.Incarnation && old.Sequence == s.Sequence {
		return announcementUnchanged
	}
	if !r.mayApply(now, s) {
		return announcementHeld
	}
	for name, other := range r.servers {
		if name != s.Name && other.Address == s.Address && !other.Gone {
			// The address now belongs to another database, so the former one has stopped.
			other.Gone = true
			r.servers[name] = other
			r.recordChange(name)
		}
	}
	if now.Sub(r.promotedAt[s.Service]) < r.announceInterval/2 {
		// The role in the announcement may be older than the promotion.
		s.Primary = old.Primary
	}
	record := serverRecord{Server: s, lastAnnounced: now}
	switch {
	case s.Leaving && found && old.Leaving && old.Incarnation == s.Incarnation:
		record.leavingSince = old.leavingSince
	case s.Leaving:
		record.leavingSince = now
	}
	r.servers[s.Name] = record
	before := old.Server
	before.Sequence = s.Sequence
	if found && before == s {
		return announcementUnchanged
	}
	r.recordChange(s.Name)
	return announcementChanged
}

// mayApply reports whether an announcement takes precedence over the recorded databases with its name or address.
func (r *roster) mayApply(now time.Time, s fleet.Server) bool {
	c := claimant{name: s.Name, service: s.Service, address: s.Address, incarnation: s.Incarnation}
	accepted := true
	for name, holder := range r.servers {
		order := claim.Newer
		switch {
		case name == s.Name:
			if !s.Supersedes(holder.Server) {
				order = claim.Older
			} else if holder.Service == s.Service && holder.Address == s.Address && holder.Incarnation == s.Incarnation {
				continue
			}
		case holder.Gone || holder.Address != s.Address:
			continue
		case holder.Incarnation > s.Incarnation:
			order = claim.Older
		}
		if order == claim.Newer && (holder.Leaving || holder.Gone) {
			continue
		}
		accepted = r.claims.Accept(now, c, order, holder.lastAnnounced) && accepted
	}
	return accepted
}

// recordChange starts a new version in which a server has changed.
func (r *roster) recordChange(name group.Server) {
	r.version.Number++
	r.changes.RecordServer(r.version.Number, name)
}

// setPrimary marks a database as the primary of its service.
func (r *roster) setPrimary(now time.Time, service group.Service, server group.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promotedAt[service] = now
	for name, s := range r.servers {
		if s.Service == service {
			if s.Primary == (name == server) {
				continue
			}
			s.Primary = name == server
			r.servers[name] = s
			r.recordChange(name)
		}
	}
}

// entriesChanged starts a new version in which entries have changed.
func (r *roster) entriesChanged(names []inventory.InstanceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version.Number++
	for _, name := range names {
		r.changes.RecordEntry(r.version.Number, name)
	}
}

// expire removes databases that have been silent for too long and reports whether there were any.
func (r *roster) expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, s := range r.servers {
		if now.Sub(s.lastAnnounced) > forgetIntervals*r.announceInterval {
			delete(r.servers, name)
			if !s.Gone {
				r.recordChange(name)
				changed = true
			}
		}
	}
	return changed
}

// currentVersion returns the version and whether this leader has led long enough to have heard from every live database.
func (r *roster) currentVersion(now time.Time) (fleet.RosterVersion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	settled := now.Sub(r.startedAt) > settleIntervals*r.announceInterval
	version := r.version
	if settled {
		// A complete roster needs another version than the partial one.
		version.Number |= settledVersion
	}
	return version, settled
}

// snapshot returns the roster for entries, with the databases ordered by name.
func (r *roster) snapshot(now time.Time, entries []fleet.Entry) fleet.Roster {
	version, settled := r.currentVersion(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	out := fleet.Roster{Version: version, Partial: !settled, Entries: entries}
	for _, s := range r.servers {
		if s.Gone {
			continue
		}
		if s.Leaving && !s.leavingSince.IsZero() {
			s.LeavingFor = max(1, now.Sub(s.leavingSince))
		}
		out.Servers = append(out.Servers, s.Server)
	}
	slices.SortFunc(out.Servers, func(a, b fleet.Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// since returns what has changed since a version that an entry has, or the whole roster if that is not known.
func (r *roster) since(now time.Time, base fleet.RosterVersion, entries []fleet.Entry) fleet.Roster {
	full := r.snapshot(now, entries)
	if base.Term != full.Version.Term || base.Number&settledVersion != full.Version.Number&settledVersion {
		return full
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	unsettled := base
	unsettled.Number &^= settledVersion
	delta, ok := r.changes.Delta(unsettled, full)
	if !ok {
		return full
	}
	delta.Base = base
	return delta
}

// liveByService returns the live databases by service.
func (r *roster) liveByService() map[group.Service][]serverRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[group.Service][]serverRecord)
	for _, s := range r.servers {
		if !s.Gone {
			out[s.Service] = append(out[s.Service], s)
		}
	}
	return out
}
