package quota

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Member is an entry that may hold parts of the quota.
type Member struct {
	Name       inventory.InstanceName `cbor:"1,keyasint"`
	DataCentre inventory.DataCentre   `cbor:"2,keyasint"`
}

// contacts tells the leader which entries may be using their floor shares.
//
// An entry uses its floor shares when CutOffAfter has passed since it sent the last request that it got an answer to. A request that
// echoes a stamp, whose request echoed an earlier one, proves that the entry sent an answered request after that earlier stamp:
// so its last contact is not before the earlier stamp, on the leader's own clock and however late messages are. Its floors are
// set aside until that is proven, and again from half of CutOffAfter on. The other half covers the drift of the clocks and the
// lifetime of grants made before.
type contacts struct {
	within  time.Duration
	entries map[inventory.InstanceName]*contact
	next    time.Time
}

// contact is one entry.
type contact struct {
	member Member
	// proven is the least time of its last contact, zero while that may be too long ago.
	proven time.Time
	// heard is when the last request of it came, which bounds its last contact from above.
	heard time.Time
	// met is true once it has been in contact with this leader: what it holds is known from then on.
	met bool
	// caughtUp is true once it was in contact after the last change of the limits.
	caughtUp bool
	floors   map[inventory.WorkspaceName]*share
	reviewed time.Time
}

// expiry is the time at which an entry's floors must be set aside.
type expiry struct {
	at      time.Time
	contact *contact
}

// list replaces the entries; new ones have proven nothing. It returns those that are gone.
func (c *contacts) list(members []Member) []*contact {
	old := c.entries
	c.entries = make(map[inventory.InstanceName]*contact, len(members))
	for _, m := range members {
		entry := old[m.Name]
		if entry == nil || entry.member != m {
			entry = &contact{member: m, floors: make(map[inventory.WorkspaceName]*share)}
		} else {
			delete(old, m.Name)
		}
		entry.caughtUp = false
		c.entries[m.Name] = entry
	}
	c.recount()
	gone := make([]*contact, 0, len(old))
	for _, entry := range old {
		gone = append(gone, entry)
	}
	return gone
}

// complete tells whether every entry was in contact since the last change of the limits.
func (c *contacts) complete() bool {
	for _, entry := range c.entries {
		if entry.proven.IsZero() || !entry.caughtUp {
			return false
		}
	}
	return true
}

// centres returns how many entries each data centre has, and how many of them this leader has not met.
func (c *contacts) centres() (sizes, unmet map[inventory.DataCentre]int) {
	sizes, unmet = make(map[inventory.DataCentre]int), make(map[inventory.DataCentre]int)
	for _, entry := range c.entries {
		sizes[entry.member.DataCentre]++
		if !entry.met {
			unmet[entry.member.DataCentre]++
		}
	}
	return sizes, unmet
}

// recount finds when the next entry's proof is too old.
func (c *contacts) recount() {
	c.next = time.Time{}
	for _, entry := range c.entries {
		if entry.proven.IsZero() {
			continue
		}
		if end := entry.proven.Add(c.within); c.next.IsZero() || end.Before(c.next) {
			c.next = end
		}
	}
}

// prove takes in a least time of an entry's last contact and reports whether its floors need not be set aside any longer.
func (c *contacts) prove(entry *contact, at, changed, now time.Time) bool {
	if !at.After(entry.proven) || !at.Add(c.within).After(now) {
		return false
	}
	back := entry.proven.IsZero()
	entry.proven = at
	entry.caughtUp = entry.caughtUp || !at.Before(changed)
	if back {
		c.recount()
	}
	return back
}

// due returns, in order, the entries whose floors had to be set aside since the last call.
func (c *contacts) due(now time.Time) []expiry {
	if c.next.IsZero() || now.Before(c.next) {
		return nil
	}
	var expired []expiry
	for _, entry := range c.entries {
		if end := entry.proven.Add(c.within); !entry.proven.IsZero() && !end.After(now) {
			expired = append(expired, expiry{at: end, contact: entry})
			entry.proven = time.Time{}
		}
	}
	c.recount()
	slices.SortFunc(expired, func(a, b expiry) int { return a.at.Compare(b.at) })
	return expired
}
