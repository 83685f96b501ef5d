package placement

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/lease"
)

// Leader grants the budgets of all databases; it needs no durable state.
//
// It may be asked only while it holds its leadership, and starts only once every earlier leader's leadership has ended.
type Leader struct {
	settings Settings
	start    time.Time
	// fresh leaders have had no predecessor who granted anything.
	fresh     bool
	entries   []Entry
	databases map[group.ServerID]*server
	newest    map[holder]contact
}

// contact is the last request of a holder.
type contact struct {
	id     uint64
	at     time.Time
	listed map[group.ServerID]struct{}
}

// server is the accounts of one database and the demand of its homes.
type server struct {
	Database
	floor  int
	floors account
	shares account
	homes  []inventory.InstanceName
	demand map[inventory.InstanceName]int
}

// NewLeader returns a leader that begins now and knows no database.
//
// It is fresh only if no earlier leader can have granted anything, as before the first inventory.
func NewLeader(settings Settings, now time.Time, fresh bool) *Leader {
	return &Leader{
		settings: settings, start: now, fresh: fresh,
		databases: make(map[group.ServerID]*server), newest: make(map[holder]contact),
	}
}

// SetDatabases replaces the databases; what is leased of them is kept, also while one is gone for a time.
//
// A lowered limit holds once what was leased above it has been given back.
func (l *Leader) SetDatabases(databases []Database) {
	for id, d := range l.databases {
		d.configure(Database{ID: id}, &l.settings)
	}
	for _, database := range databases {
		d := l.databases[database.ID]
		if d == nil {
			d = &server{floors: newAccount(), shares: newAccount(), demand: make(map[inventory.InstanceName]int)}
			l.databases[database.ID] = d
		}
		d.configure(database, &l.settings)
	}
}

func (d *server) configure(database Database, settings *Settings) {
	d.Database = database
	d.floors.limit = settings.floors(database.Connections)
	d.shares.limit = database.Connections - d.floors.limit
	d.floor = d.floors.limit / settings.Homes
	d.homes = nil
}

// SetEntries replaces the entries that may be homes.
func (l *Leader) SetEntries(entries []Entry) {
	l.entries = slices.Clone(entries)
	for _, d := range l.databases {
		d.homes = nil
	}
}

// Handle answers a request; one that is not newer than the entry's last is not answered.
func (l *Leader) Handle(now time.Time, request *Request) (Reply, bool) {
	h := holder{name: request.Entry, incarnation: request.Incarnation}
	last := l.newest[h]
	if request.ID <= last.id {
		return Reply{}, false
	}
	reply := Reply{ID: request.ID, ShareLease: l.settings.ShareLease, FloorLease: l.settings.FloorLease}
	listed := make(map[group.ServerID]struct{}, len(request.Holdings))
	for _, holding := range request.Holdings {
		d := l.databases[holding.Database]
		if _, twice := listed[holding.Database]; d == nil || twice {
			continue
		}
		listed[holding.Database] = struct{}{}
		reply.Grants = append(reply.Grants, l.grant(now, h, d, holding))
	}
	for id := range last.listed {
		if _, found := listed[id]; !found {
			l.takeBack(h, id)
		}
	}
	l.newest[h] = contact{id: request.ID, at: now, listed: listed}
	return reply, true
}

// takeBack ends the leases of a database that the holder lists no more.
func (l *Leader) takeBack(h holder, id group.ServerID) {
	if d := l.databases[id]; d != nil {
		delete(d.floors.records, h)
		delete(d.shares.records, h)
	}
}

func (l *Leader) grant(now time.Time, h holder, d *server, holding Holding) Grant {
	if d.homes == nil {
		d.homes = Homes([]inventory.InstanceName{}, &d.Database, l.entries, l.settings.Homes)
	}
	blindShares, blindFloors := l.blind(now, l.settings.ShareLease), l.blind(now, l.settings.FloorLease)
	floorTarget, shareTarget := 0, 0
	home := slices.Contains(d.homes, h.name)
	if home {
		d.demand[h.name] = holding.Demand
		floorTarget = d.floor
	}
	floor := d.floors.renew(h, now, l.until(now, l.settings.FloorLease), holding.Floor, floorTarget, blindFloors)
	switch {
	case home && blindShares:
		shareTarget = holding.Share
	case home:
		shareTarget = d.target(now, h)
	}
	share := d.shares.renew(h, now, l.until(now, l.settings.ShareLease), holding.Share, shareTarget, blindShares)
	return Grant{
		Database: d.ID, Floor: floor, Share: share,
		Target: min(floorTarget, floor) + min(shareTarget, share),
	}
}

// until returns when a lease that is asked for now is over at a holder with a slower clock.
func (l *Leader) until(now time.Time, length time.Duration) time.Time {
	return now.Add(length * (100 + lease.DriftPercent) / 100)
}

// blind tells whether leases of an earlier leader may be valid that this one knows nothing of.
func (l *Leader) blind(now time.Time, length time.Duration) bool {
	return !l.fresh && now.Before(l.until(l.start, length))
}

// RemoveExpired drops what is known of entries that have not asked for longer than any lease, and of databases that are gone.
func (l *Leader) RemoveExpired(now time.Time) {
	for h, c := range l.newest {
		if now.After(l.until(c.at, l.settings.FloorLease)) {
			delete(l.newest, h)
		}
	}
	for id, d := range l.databases {
		if d.Connections == 0 && d.floors.empty(now) && d.shares.empty(now) {
			delete(l.databases, id)
		}
	}
}
