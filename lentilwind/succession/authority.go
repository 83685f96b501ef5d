package succession

import (
	"sync"
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/group"
)

// Authority decides which servers one entry may use as primaries, where nobody else stops a replaced primary.
//
// It answers the case of two primaries that both accept writes: a partitioned one that this entry still reaches, and its successor. An
// entry uses only the designated server, and only while its lease lasts. Control orders a replacement only after every entry has confirmed
// that it stopped, or its lease has ended. Authority is safe for concurrent use.
type Authority struct {
	mu         sync.Mutex
	version    fleet.Epoch
	leaseUntil time.Time
	services   map[group.Service]*tenure
}

// tenure is the right to use one server as the primary of a service.
type tenure struct {
	fleet.Designation
	// since is the epoch from which the server has been designated without interruption.
	since fleet.Epoch
	// formerEpoch is the since of the preceding server. Its writes in flight may be acknowledged until formerUntil, and until the new
	// table is confirmed.
	formerEpoch fleet.Epoch
	formerUntil time.Time
	// inFlight counts the writes of the current epoch without an answer, and formerInFlight those of the former one.
	inFlight, formerInFlight int
	// drained is closed when formerInFlight becomes 0; it is nil if nobody waits.
	drained chan struct{}
}

// Write is one write in flight.
type Write struct {
	Service group.Service
	epoch   fleet.Epoch
}

// NewAuthority returns an Authority without any right.
func NewAuthority() *Authority { return &Authority{services: make(map[group.Service]*tenure)} }

// Version returns the newest table that is obeyed.
func (a *Authority) Version() fleet.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// Extend extends the lease. It must be called only with leases that were granted with the current table.
func (a *Authority) Extend(until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until.After(a.leaseUntil) {
		a.leaseUntil = until
	}
}

// Apply obeys a newer table at once. It returns a channel for each service whose former writes should be awaited before the table is
// confirmed with Confirm; the channel is closed when they have ended.
func (a *Authority) Apply(table fleet.Designations, now time.Time) []<-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if table.Version <= a.version {
		return nil
	}
	a.version = table.Version
	var pending []<-chan struct{}
	for _, d := range table.List {
		current := a.services[d.Service]
		if current == nil {
			a.services[d.Service] = &tenure{Designation: d, since: d.Epoch}
			continue
		}
		if d.Epoch <= current.Epoch {
			continue
		}
		if drained := current.replace(d, a.leaseUntil, now); drained != nil {
			pending = append(pending, drained)
		}
	}
	return pending
}

// replace starts a new epoch. It returns a channel if writes of the former epoch should be awaited.
func (t *tenure) replace(d fleet.Designation, leaseUntil, now time.Time) <-chan struct{} {
	held := now.Before(leaseUntil)
	if held && !d.Suspended && !t.Suspended && d.Server == t.Server {
		t.Designation = d
		return nil
	}
	t.formerEpoch, t.formerUntil = t.since, leaseUntil
	t.formerInFlight, t.inFlight = t.inFlight, 0
	t.Designation, t.since = d, d.Epoch
	if !d.Drain || t.formerInFlight == 0 || !held {
		t.formerUntil = time.Time{}
		return nil
	}
	t.drained = make(chan struct{})
	return t.drained
}

// Confirm ends the acknowledgement of writes of former epochs. It must be called before the table is confirmed to control.
func (a *Authority) Confirm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.services {
		t.formerUntil = time.Time{}
	}
}

// Lapsed reports whether the lease has ended, so that no primary may be used.
func (a *Authority) Lapsed(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.leaseUntil)
}

// Primary returns the server that may be used as the primary of a service now, or "" if there is none.
func (a *Authority) Primary(service group.Service, now time.Time) group.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.services[service]
	if t == nil || t.Suspended || !now.Before(a.leaseUntil) {
		return ""
	}
	return t.Server
}

// BeginWrite returns a write to a server, and false if the server may not be used as the primary now. Each write must be ended.
func (a *Authority) BeginWrite(service group.Service, server group.Server, now time.Time) (Write, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.services[service]
	if t == nil || t.Suspended || t.Server != server || !now.Before(a.leaseUntil) {
		return Write{}, false
	}
	t.inFlight++
	return Write{Service: service, epoch: t.since}, true
}

// EndWrite ends a write. It reports whether its server was the only primary until now, so that a success may be acknowledged.
func (a *Authority) EndWrite(w Write, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.services[w.Service]
	if t == nil {
		return false
	}
	switch w.epoch {
	case t.since:
		t.inFlight--
		return now.Before(a.leaseUntil)
	case t.formerEpoch:
		t.formerInFlight--
		if t.formerInFlight == 0 && t.drained != nil {
			close(t.drained)
			t.drained = nil
		}
		return now.Before(t.formerUntil)
	default:
		return false
	}
}
