package roster

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// Outcome is the result of processing an announcement.
type Outcome string

// The outcomes of announcements.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeStale means that the announcement was a duplicate or arrived out of order.
	OutcomeStale Outcome = "stale"
	// OutcomeUnknown means that the inventory does not list the server.
	OutcomeUnknown Outcome = "unknown"
)

// HandleAnnouncement processes the announcement of a server.
func (r *Roster) HandleAnnouncement(now time.Time, a protocol.Announcement) (protocol.AnnounceReply, Outcome) {
	id := group.ServerID{Service: a.Service, Server: a.Server}
	server, listed := r.servers[id]
	if !listed {
		r.handleUnknownServer(now, id, a)
		return protocol.AnnounceReply{}, OutcomeUnknown
	}
	if r.isStale(now, server, a) {
		return protocol.AnnounceReply{MayStop: a.Incarnation == server.LastAnnouncement.Incarnation && r.mayStop(now, server)}, OutcomeStale
	}
	moved := server.LastAnnouncement.Address != a.Address
	server.AnnouncedAt, server.LastAnnouncement = now, a
	if moved {
		r.claimAddress(server)
	}
	if !r.updateHealth(now, server) && moved {
		r.changes.add(change{server: id})
	}
	return protocol.AnnounceReply{MayStop: r.mayStop(now, server)}, OutcomeAccepted
}

// claimAddress removes the address of owner from all other servers, so that an address belongs only to the server that
// announced it last.
func (r *Roster) claimAddress(owner *Server) {
	for id, server := range r.servers {
		if server != owner && server.LastAnnouncement.Address != "" && server.LastAnnouncement.Address == owner.LastAnnouncement.Address {
			server.LastAnnouncement.Address = ""
			r.changes.add(change{server: id})
		}
	}
}

func (r *Roster) handleUnknownServer(now time.Time, id group.ServerID, a protocol.Announcement) {
	server := r.unknown[id]
	if server == nil {
		server = &Server{ID: id, DataCentre: a.DataCentre, Health: protocol.HealthUnknown}
		r.addUnknown(server)
	}
	if !r.isStale(now, server, a) {
		server.AnnouncedAt, server.LastAnnouncement = now, a
	}
}

// isStale reports whether the announcement is not newer than the last accepted one.
func (r *Roster) isStale(now time.Time, server *Server, a protocol.Announcement) bool {
	last := server.LastAnnouncement
	if server.AnnouncedAt.IsZero() || now.Sub(server.AnnouncedAt) >= r.cfg.IncarnationTimeout {
		return false
	}
	if a.Incarnation != last.Incarnation {
		return a.Incarnation < last.Incarnation
	}
	return a.Sequence <= last.Sequence
}

// updateHealth derives the health of a listed server from its last announcement and reports whether it changed.
func (r *Roster) updateHealth(now time.Time, server *Server) bool {
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

// mayStop reports whether a leaving server has no work left: it is the primary of no group, and every entry has learnt that.
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
	return now.Sub(r.primaryChangedAt[server.ID.Service]) >= r.cfg.StopGrace
}

// HandleEntryReport processes an entry's report; reports of instances that the inventory does not list are ignored.
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
	if report.Incarnation < e.report.Incarnation && now.Sub(e.reportedAt) < r.cfg.IncarnationTimeout {
		return
	}
	health := protocol.HealthLive
	if report.Draining {
		health = protocol.HealthLeaving
	}
	changed := health != e.health || report.Address != e.report.Address
	report.DataCentre = dc
	e.reportedAt, e.health, e.report = now, health, report
	if changed {
		r.changes.add(change{entry: report.Name})
	}
}
