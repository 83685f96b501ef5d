package roster

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// Outcome tells what became of an announcement.
type Outcome string

// The outcomes of announcements.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeStale marks a repeated or overtaken announcement.
	OutcomeStale Outcome = "stale"
	// OutcomeUnknown marks a server that stands in no inventory.
	OutcomeUnknown Outcome = "unknown"
)

// HandleAnnouncement takes in what a server says of itself.
func (r *Roster) HandleAnnouncement(now time.Time, a protocol.Announcement) (protocol.AnnounceReply, Outcome) {
	id := group.ServerID{Service: a.Service, Server: a.Server}
	server, listed := r.servers[id]
	if !listed {
		r.announceUnknown(now, id, a)
		return protocol.AnnounceReply{}, OutcomeUnknown
	}
	if r.stale(now, server, a) {
		return protocol.AnnounceReply{MayStop: a.Incarnation == server.LastAnnouncement.Incarnation && r.mayStop(now, server)}, OutcomeStale
	}
	moved := server.LastAnnouncement.Address != a.Address
	server.AnnouncedAt, server.LastAnnouncement = now, a
	if moved {
		r.takeAddress(server)
	}
	if !r.judge(now, server) && moved {
		r.changes.add(change{server: id})
	}
	return protocol.AnnounceReply{MayStop: r.mayStop(now, server)}, OutcomeAccepted
}

// takeAddress gives an address to the server that announced it last, so that no two are reached under the same one.
func (r *Roster) takeAddress(owner *Server) {
	for id, server := range r.servers {
		if server != owner && server.LastAnnouncement.Address != "" && server.LastAnnouncement.Address == owner.LastAnnouncement.Address {
			server.LastAnnouncement.Address = ""
			r.changes.add(change{server: id})
		}
	}
}

func (r *Roster) announceUnknown(now time.Time, id group.ServerID, a protocol.Announcement) {
	server := r.unknown[id]
	if server == nil {
		server = &Server{ID: id, DataCentre: a.DataCentre, Health: protocol.HealthUnknown}
		r.keepUnknown(server)
	}
	if !r.stale(now, server, a) {
		server.AnnouncedAt, server.LastAnnouncement = now, a
	}
}

// stale tells whether the announcement is older than the last accepted one.
func (r *Roster) stale(now time.Time, server *Server, a protocol.Announcement) bool {
	last := server.LastAnnouncement
	if server.AnnouncedAt.IsZero() || now.Sub(server.AnnouncedAt) >= r.cfg.IncarnationTimeout {
		return false
	}
	if a.Incarnation != last.Incarnation {
		return a.Incarnation < last.Incarnation
	}
	return a.Sequence <= last.Sequence
}

// judge sets the health of a listed server from what was heard last and reports whether it changed.
func (r *Roster) judge(now time.Time, server *Server) bool {
	health := protocol.HealthLive
	switch {
	case now.Sub(server.AnnouncedAt) > r.cfg.ServerTimeout:
		health = protocol.HealthSilent
	case server.LastAnnouncement.Leaving:
		health = protocol.HealthLeaving
	}
	if health == server.Health {
		return false
	}
	if health == protocol.HealthLeaving {
		server.leavingSince = now
	}
	server.Health = health
	r.changes.add(change{server: server.ID})
	return true
}

// mayStop tells whether a leaving server has no work left: it is the primary of nothing, and all entries know so.
func (r *Roster) mayStop(now time.Time, server *Server) bool {
	if server.Health != protocol.HealthLeaving || now.Sub(server.leavingSince) < r.cfg.StopGrace {
		return false
	}
	for id, configuration := range r.groups {
		if id.Service != server.ID.Service {
			continue
		}
		if configuration.Primary == "" || configuration.Primary == server.ID.Server {
			return false
		}
	}
	return now.Sub(r.moved[server.ID.Service]) >= r.cfg.StopGrace
}

// HandleEntryReport takes in an entry's report; an instance that the inventory does not list gets no work.
func (r *Roster) HandleEntryReport(now time.Time, report protocol.EntryReport) {
	dc, listed := r.instances[report.Name]
	if !listed {
		return
	}
	e := r.entries[report.Name]
	if e == nil {
		e = &entry{}
		r.entries[report.Name] = e
	}
	if report.Incarnation < e.report.Incarnation && now.Sub(e.seen) < r.cfg.IncarnationTimeout {
		return
	}
	health := protocol.HealthLive
	if report.Draining {
		health = protocol.HealthLeaving
	}
	changed := health != e.health || report.Address != e.report.Address
	report.DataCentre = dc
	e.seen, e.health, e.report = now, health, report
	if changed {
		r.changes.add(change{entry: report.Name})
	}
}
