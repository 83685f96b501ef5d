package quota

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// contacts tells the leader which entries may be using their floor share.
//
// An entry uses its floor when CutOffAfter has passed since it sent the last request that it got an answer to. A request that
// echoes a stamp, whose request echoed an earlier one, proves that the entry sent an answered request after that earlier stamp:
// so its last contact is not before the earlier stamp, on the leader's own clock and however late messages are. Its floor is
// set aside until that is proven, and again from half of CutOffAfter on. The other half covers the drift of the clocks and the
// lifetime of grants made before.
type contacts struct {
	within  time.Duration
	entries map[inventory.InstanceName]*contact
	// aside is the sum of the fractions that are set aside.
	aside  float64
	next   time.Time
	listed time.Time
}

// contact is one entry's least time of its last contact, and the largest fraction of the floors that it may know of.
type contact struct {
	proven   time.Time
	fraction float64
}

// expiry is the time at which an entry's fraction must be set aside.
type expiry struct {
	at       time.Time
	fraction float64
}

func newContacts(within time.Duration) contacts {
	return contacts{within: within, entries: make(map[inventory.InstanceName]*contact)}
}

func (c *contacts) len() int { return len(c.entries) }

// complete tells whether every entry's contact is proven.
func (c *contacts) complete() bool {
	for _, entry := range c.entries {
		if entry.proven.IsZero() {
			return false
		}
	}
	return true
}

// all returns the sum of all fractions.
func (c *contacts) all() float64 {
	sum := 0.0
	for _, entry := range c.entries {
		sum += entry.fraction
	}
	return sum
}

// list replaces the entries; new ones have proven nothing.
func (c *contacts) list(names []inventory.InstanceName, now time.Time) {
	old := c.entries
	c.entries = make(map[inventory.InstanceName]*contact, len(names))
	c.listed = now
	fraction := 1 / float64(max(1, len(names)))
	for _, name := range names {
		entry := &contact{fraction: fraction}
		if known := old[name]; known != nil {
			entry.proven = known.proven
			entry.fraction = max(fraction, known.fraction)
		}
		c.entries[name] = entry
	}
	c.recount()
}

// recount finds what is set aside and when the next fraction is due.
func (c *contacts) recount() {
	c.aside, c.next = 0, time.Time{}
	for _, entry := range c.entries {
		if entry.proven.IsZero() {
			c.aside += entry.fraction
			continue
		}
		if end := entry.proven.Add(c.within); c.next.IsZero() || end.Before(c.next) {
			c.next = end
		}
	}
}

// prove takes in a least time of an entry's last contact and reports whether less is set aside now.
func (c *contacts) prove(name inventory.InstanceName, at, now time.Time) bool {
	entry := c.entries[name]
	if entry == nil || !at.After(entry.proven) || !at.Add(c.within).After(now) {
		return false
	}
	back := entry.proven.IsZero()
	entry.proven = at
	if !at.Before(c.listed) {
		entry.fraction = 1 / float64(len(c.entries))
	}
	if back {
		c.recount()
	}
	return back
}

// due returns, in order, what had to be set aside since the last call.
func (c *contacts) due(now time.Time) []expiry {
	if c.next.IsZero() || now.Before(c.next) {
		return nil
	}
	var expired []expiry
	aside := c.aside
	for _, entry := range c.entries {
		if end := entry.proven.Add(c.within); !entry.proven.IsZero() && !end.After(now) {
			expired = append(expired, expiry{at: end, fraction: entry.fraction})
			entry.proven = time.Time{}
		}
	}
	c.recount()
	c.aside = aside
	slices.SortFunc(expired, func(a, b expiry) int { return a.at.Compare(b.at) })
	return expired
}
