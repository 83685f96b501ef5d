package quota

import (
	"math"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Division of the floors.
const (
	// demandTime is the time constant of the demand by which the floors of a data centre are divided.
	demandTime = 10 * time.Second
	// reviewEvery is the time between two looks at an entry's floor shares.
	reviewEvery = 500 * time.Millisecond
	// evenPart is the part of a data centre's demand that counts as spread evenly over its entries.
	evenPart = 0.1
	// floorChange is how much a share must be off before it is changed, as a part of it.
	floorChange = 0.25
	// evenEntries is the largest fleet whose floors are divided evenly over all entries.
	evenEntries = 16
	// leastDemand is the demand in requests a second below which a share without tokens is forgotten.
	leastDemand = 0.01
)

// share is one entry's floor share of one workspace, as a fraction of the workspace's limits.
type share struct {
	demand demand
	// held is what the entry is known to hold; offered is what it was told at a time of this term and may hold instead, while
	// open.
	held, offered float64
	offeredAt     time.Duration
	open          bool
}

// most is the largest fraction that the entry may hold.
func (s *share) most() float64 {
	if s.open {
		return max(s.held, s.offered)
	}
	return s.held
}

// demand is a rate of requests that is forgotten slowly.
type demand struct {
	rate float64
	at   time.Time
}

func (d *demand) add(requests float64, now time.Time) {
	d.rate = d.now(now) + requests/demandTime.Seconds()
	d.at = now
}

func (d *demand) now(now time.Time) float64 {
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// centre is one data centre's part of one workspace's floors.
type centre struct {
	demand   demand
	assigned float64
}

// floors is how the leader has divided the floors of all workspaces.
//
// In a small fleet every entry has the same share. In a large one each data centre has the same part, so that one which is cut off
// as a whole goes on at its part of the rate; within it the shares follow the demand, since an even share would be less than one
// request. A new leader does not know the shares of its predecessor, but those of a data centre's entries never exceed its part.
type floors struct {
	// parts is the number of data centres that the floors are divided among.
	parts int
	// aside is the sum of the fractions of entries that may be cut off, by workspace, and unknown what entries may hold that this
	// leader has not met.
	aside   map[inventory.WorkspaceName]float64
	unknown float64
	centres map[inventory.WorkspaceName]map[inventory.DataCentre]*centre
	// sizes and unmet describe the data centres.
	sizes map[inventory.DataCentre]int
	unmet map[inventory.DataCentre]int
}

func (f *floors) centre(w inventory.WorkspaceName, dc inventory.DataCentre) *centre {
	byCentre := f.centres[w]
	if byCentre == nil {
		byCentre = make(map[inventory.DataCentre]*centre)
		f.centres[w] = byCentre
	}
	c := byCentre[dc]
	if c == nil {
		c = &centre{}
		byCentre[dc] = c
	}
	return c
}

// assigned is the sum over all data centres.
func (f *floors) assigned(w inventory.WorkspaceName) float64 {
	sum := 0.0
	for _, c := range f.centres[w] {
		sum += c.assigned
	}
	return sum
}

// part is the fraction of a workspace's limits that one data centre may hold.
func (l *Leader) part() float64 { return l.settings.FloorFraction / float64(max(1, l.floors.parts)) }

// asideOf is the fraction of a workspace's limits that may be in use out of floor shares.
func (l *Leader) asideOf(w inventory.WorkspaceName) float64 {
	return min(l.settings.FloorFraction, l.floors.aside[w]+l.floors.unknown)
}

// byDemand tells whether the floors are divided by data centre and demand.
func (l *Leader) byDemand() bool {
	return l.settings.DivideByDemand && len(l.contacts.entries) > evenEntries
}

// even returns the share of an entry if every entry has the same one.
func (l *Leader) even() float64 {
	return l.settings.FloorFraction / float64(max(1, len(l.contacts.entries)))
}

// recountCentres finds what the entries may hold that this leader has not met.
func (l *Leader) recountCentres() {
	l.floors.sizes, l.floors.unmet = l.contacts.centres()
	l.floors.unknown = 0
	for _, unmet := range l.floors.unmet {
		if l.byDemand() {
			l.floors.unknown += l.part()
		} else {
			l.floors.unknown += l.even() * float64(unmet)
		}
	}
}

// endFloors forgets the floor shares of entries that have been silent for longer than these last.
func (l *Leader) endFloors(now time.Time) {
	life := time.Duration(float64(l.settings.FloorLife) * (1 + MaxDrift))
	if life == 0 {
		return
	}
	met := false
	for _, entry := range l.contacts.entries {
		if !entry.proven.IsZero() || now.Sub(entry.heard) <= life || now.Sub(l.began) <= life {
			continue
		}
		if !entry.met {
			entry.met, met = true, true
		}
		l.drop(entry, now)
	}
	if met {
		l.recountCentres()
		l.reshapeAll(now)
	}
}

// setAside counts an entry's floors as in use, or no longer, and fits the buckets.
func (l *Leader) setAside(entry *contact, sign float64, at time.Time) {
	for name, s := range entry.floors {
		if fraction := s.most(); fraction > 0 {
			l.floors.aside[name] = max(0, l.floors.aside[name]+sign*fraction)
			l.reshapeOne(name, at)
		}
	}
}

// change sets a share and keeps the sums in step; the entry is in contact, so nothing of it is set aside.
func (l *Leader) change(entry *contact, name inventory.WorkspaceName, s *share, set func(s *share)) {
	before := s.most()
	set(s)
	c := l.floors.centre(name, entry.member.DataCentre)
	c.assigned = max(0, c.assigned+s.most()-before)
}

// note counts what an entry asks for.
func (l *Leader) note(entry *contact, draw protocol.Draw, granted uint32, now time.Time) {
	count := float64(max(draw.Need, granted))
	if count == 0 {
		return
	}
	s := entry.floors[draw.Workspace]
	if s == nil {
		s = &share{}
		entry.floors[draw.Workspace] = s
	}
	s.demand.add(count, now)
	l.floors.centre(draw.Workspace, entry.member.DataCentre).demand.add(count, now)
}

// acknowledge takes in which offers an entry has received.
func (l *Leader) acknowledge(entry *contact, echo protocol.LeaderStamp) {
	if echo.Term != l.term {
		return
	}
	for name, s := range entry.floors {
		if s.open && echo.Time >= s.offeredAt {
			l.change(entry, name, s, func(s *share) { s.held, s.open = s.offered, false })
		}
	}
}

// tellAgain offers an entry what it holds once more: it may have dropped that while it was cut off.
func (l *Leader) tellAgain(entry *contact, now time.Time) {
	for _, s := range entry.floors {
		if !s.open {
			s.offered, s.open = s.held, true
		}
		s.offeredAt = now.Sub(l.began)
	}
}

// review returns the floor shares that an entry must be told.
func (l *Leader) review(entry *contact, stamp protocol.LeaderStamp, now time.Time) []protocol.Floor {
	if !entry.proven.IsZero() && now.Sub(entry.reviewed) >= reviewEvery {
		entry.reviewed = now
		l.divide(entry, stamp, now)
	}
	var told []protocol.Floor
	for name, s := range entry.floors {
		if s.open {
			told = append(told, protocol.Floor{Workspace: name, Fraction: s.offered})
		}
	}
	return told
}

// divide offers an entry its shares by the present demand.
func (l *Leader) divide(entry *contact, stamp protocol.LeaderStamp, now time.Time) {
	even := l.even()
	for name, w := range l.workspaces {
		s := entry.floors[name]
		if s == nil {
			if even*w.limits.Burst < 1 {
				continue
			}
			s = &share{}
			entry.floors[name] = s
		}
		if !s.open {
			l.offer(entry, name, w, s, stamp, now)
		}
	}
	for name, s := range entry.floors {
		if s.most() == 0 && s.demand.now(now) < leastDemand {
			delete(entry.floors, name)
		}
	}
}

// offer decides on one share.
func (l *Leader) offer(entry *contact, name inventory.WorkspaceName, w *workspace, s *share, stamp protocol.LeaderStamp, now time.Time) {
	target := l.even()
	if l.byDemand() {
		target = l.demanded(entry, name, s, now)
	}
	if free := l.free(entry, name); target > s.held {
		target = min(target, s.held+free)
	}
	if target*w.limits.Burst < 1 {
		target = 0
	}
	if math.Abs(target-s.held) <= floorChange*s.held || target == s.held {
		return
	}
	l.change(entry, name, s, func(s *share) { s.offered, s.offeredAt, s.open = target, stamp.Time, true })
}

// demanded returns an entry's share of its data centre's part by demand.
func (l *Leader) demanded(entry *contact, name inventory.WorkspaceName, s *share, now time.Time) float64 {
	dc := entry.member.DataCentre
	even := l.part() / float64(max(1, l.floors.sizes[dc]))
	all := l.floors.centre(name, dc).demand.now(now)
	if all <= leastDemand {
		return even
	}
	return (1-evenPart)*l.part()*s.demand.now(now)/all + evenPart*even
}

// free returns by how much an entry's share may grow: what others have been told is not free until they have heard otherwise, nor
// is what entries may hold that this leader has not met.
func (l *Leader) free(entry *contact, name inventory.WorkspaceName) float64 {
	free := l.settings.FloorFraction - l.floors.assigned(name) - l.floors.unknown
	if dc := entry.member.DataCentre; l.byDemand() {
		free = min(free, l.part()-l.floors.centre(name, dc).assigned)
		if l.floors.unmet[dc] > 0 {
			free = 0
		}
	}
	return max(0, free)
}
