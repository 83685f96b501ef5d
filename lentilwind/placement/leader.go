package placement

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/lease"
)

// Leader grants the connection budgets of all databases. It needs no durable state.
//
// It may be used only while its process leads, and must start only after the leadership of every earlier leader has ended.
type Leader struct {
	settings  Settings
	startedAt time.Time
	// first is true if no earlier leader can have granted anything.
	first        bool
	entries      []Entry
	databases    map[group.ServerID]*databaseState
	lastRequests map[holder]lastRequest
}

// lastRequest is the last request of a holder.
type lastRequest struct {
	id         uint64
	receivedAt time.Time
	databases  map[group.ServerID]struct{}
}

// databaseState holds the leases of one database and the demand of its homes.
type databaseState struct {
	Database
	homeFloor   int
	floorLeases leaseTable
	shareLeases leaseTable
	homes       []inventory.InstanceName
	demand      map[inventory.InstanceName]int
}

// NewLeader returns a leader that starts now and knows no databases.
//
// Pass first only if no earlier leader can have granted anything, as before the first inventory.
func NewLeader(settings Settings, now time.Time, first bool) *Leader {
	return &Leader{
		settings: settings, startedAt: now, first: first,
		databases: make(map[group.ServerID]*databaseState), lastRequests: make(map[holder]lastRequest),
	}
}

// SetDatabases replaces the databases. Leases are kept, even those of a database that is missing for a time.
//
// A lowered limit is met once the connections leased above it have been given back.
func (l *Leader) SetDatabases(databases []Database) {
	for id, d := range l.databases {
		d.configure(Database{ID: id}, &l.settings)
	}
	for _, database := range databases {
		d := l.databases[database.ID]
		if d == nil {
			d = &databaseState{floorLeases: newLeaseTable(), shareLeases: newLeaseTable(), demand: make(map[inventory.InstanceName]int)}
			l.databases[database.ID] = d
		}
		d.configure(database, &l.settings)
	}
}

func (d *databaseState) configure(database Database, settings *Settings) {
	d.Database = database
	d.floorLeases.limit = settings.totalFloor(database.Connections)
	d.shareLeases.limit = database.Connections - d.floorLeases.limit
	d.homeFloor = d.floorLeases.limit / settings.Homes
	d.homes = nil
}

// SetEntries replaces the entries that may be homes.
func (l *Leader) SetEntries(entries []Entry) {
	l.entries = slices.Clone(entries)
	for _, d := range l.databases {
		d.homes = nil
	}
}

// Handle answers a request. It returns false, and no reply, for a request that is not newer than the last one of the same
// holder.
func (l *Leader) Handle(now time.Time, request *Request) (Reply, bool) {
	h := holder{name: request.Entry, incarnation: request.Incarnation}
	last := l.lastRequests[h]
	if request.ID <= last.id {
		return Reply{}, false
	}
	reply := Reply{ID: request.ID, ShareLease: l.settings.ShareLease, FloorLease: l.settings.FloorLease}
	listed := make(map[group.ServerID]struct{}, len(request.Holdings))
	for _, holding := range request.Holdings {
		d := l.databases[holding.Database]
		if _, duplicate := listed[holding.Database]; d == nil || duplicate {
			continue
		}
		listed[holding.Database] = struct{}{}
		reply.Grants = append(reply.Grants, l.grant(now, h, d, holding))
	}
	for id := range last.databases {
		if _, found := listed[id]; !found {
			l.release(h, id)
		}
	}
	l.lastRequests[h] = lastRequest{id: request.ID, receivedAt: now, databases: listed}
	return reply, true
}

// release ends a holder's leases of a database that its request no longer lists.
func (l *Leader) release(h holder, id group.ServerID) {
	if d := l.databases[id]; d != nil {
		delete(d.floorLeases.leases, h)
		delete(d.shareLeases.leases, h)
	}
}

func (l *Leader) grant(now time.Time, h holder, d *databaseState, holding Holding) Grant {
	if d.homes == nil {
		d.homes = Homes([]inventory.InstanceName{}, &d.Database, l.entries, l.settings.Homes)
	}
	recoveringShares, recoveringFloors := l.recovering(now, l.settings.ShareLease), l.recovering(now, l.settings.FloorLease)
	floorTarget, shareTarget := 0, 0
	isHome := slices.Contains(d.homes, h.name)
	if isHome {
		d.demand[h.name] = holding.Demand
		floorTarget = d.homeFloor
	}
	floor := d.floorLeases.renew(h, now, l.leaseEnd(now, l.settings.FloorLease), holding.Floor, floorTarget, recoveringFloors)
	switch {
	case isHome && recoveringShares:
		shareTarget = holding.Share
	case isHome:
		shareTarget = d.targetShare(now, h)
	}
	share := d.shareLeases.renew(h, now, l.leaseEnd(now, l.settings.ShareLease), holding.Share, shareTarget, recoveringShares)
	return Grant{
		Database: d.ID, Floor: floor, Share: share,
		Target: min(floorTarget, floor) + min(shareTarget, share),
	}
}

// leaseEnd returns the time at which a lease that is requested now has ended even on a holder with a slower clock.
func (l *Leader) leaseEnd(now time.Time, duration time.Duration) time.Time {
	return now.Add(duration * (100 + lease.DriftPercent) / 100)
}

// recovering reports whether leases of an earlier leader, of which this one has no record, may still be valid.
func (l *Leader) recovering(now time.Time, duration time.Duration) bool {
	return !l.first && now.Before(l.leaseEnd(l.startedAt, duration))
}

// RemoveExpired removes the state of entries whose last request is older than any lease, and of databases that are gone and
// have no leases.
func (l *Leader) RemoveExpired(now time.Time) {
	for h, last := range l.lastRequests {
		if now.After(l.leaseEnd(last.receivedAt, l.settings.FloorLease)) {
			delete(l.lastRequests, h)
		}
	}
	for id, d := range l.databases {
		if d.Connections == 0 && d.floorLeases.isEmpty(now) && d.shareLeases.isEmpty(now) {
			delete(l.databases, id)
		}
	}
}
