package quota

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// contactTracker tracks which entries may be cut off and using their floor share.
//
// An entry uses its floor share when CutOffAfter has passed since it sent the last request that was answered. A request that
// echoes a stamp, whose own request echoed an earlier stamp, proves that the entry sent an answered request after that earlier
// stamp. So its last contact is not before the earlier stamp, on the leader's own clock and independent of message delays. Its
// floor share is set aside until that is proven, and again from half of CutOffAfter on. The other half covers clock drift and
// the lifetime of earlier grants.
type contactTracker struct {
	timeout time.Duration
	entries map[inventory.InstanceName]*contact
	// setAside is the sum of the fractions that are set aside.
	setAside float64
	nextDue  time.Time
	listedAt time.Time
}

// contact holds the proven lower bound of an entry's last contact, and the largest fraction of the floor that the entry may
// assume as its share.
type contact struct {
	provenAt time.Time
	fraction float64
}

// expiry is the time at which an entry's fraction must be set aside.
type expiry struct {
	at       time.Time
	fraction float64
}

func newContactTracker(timeout time.Duration) contactTracker {
	return contactTracker{timeout: timeout, entries: make(map[inventory.InstanceName]*contact)}
}

func (c *contactTracker) len() int { return len(c.entries) }

// allProven reports whether every entry's contact is proven.
func (c *contactTracker) allProven() bool {
	for _, entry := range c.entries {
		if entry.provenAt.IsZero() {
			return false
		}
	}
	return true
}

// total returns the sum of all fractions.
func (c *contactTracker) total() float64 {
	sum := 0.0
	for _, entry := range c.entries {
		sum += entry.fraction
	}
	return sum
}

// setEntries replaces the entries. The contact of new ones is not proven.
func (c *contactTracker) setEntries(names []inventory.InstanceName, now time.Time) {
	old := c.entries
	c.entries = make(map[inventory.InstanceName]*contact, len(names))
	c.listedAt = now
	fraction := 1 / float64(max(1, len(names)))
	for _, name := range names {
		entry := &contact{fraction: fraction}
		if known := old[name]; known != nil {
			entry.provenAt = known.provenAt
			entry.fraction = max(fraction, known.fraction)
		}
		c.entries[name] = entry
	}
	c.recompute()
}

// recompute updates the sum that is set aside and the time at which the next fraction is due.
func (c *contactTracker) recompute() {
	c.setAside, c.nextDue = 0, time.Time{}
	for _, entry := range c.entries {
		if entry.provenAt.IsZero() {
			c.setAside += entry.fraction
			continue
		}
		if due := entry.provenAt.Add(c.timeout); c.nextDue.IsZero() || due.Before(c.nextDue) {
			c.nextDue = due
		}
	}
}

// recordProof records that an entry's last contact is not before provenAt, and reports whether its floor share is released by
// that.
func (c *contactTracker) recordProof(name inventory.InstanceName, provenAt, now time.Time) bool {
	entry := c.entries[name]
	if entry == nil || !provenAt.After(entry.provenAt) || !provenAt.Add(c.timeout).After(now) {
		return false
	}
	released := entry.provenAt.IsZero()
	entry.provenAt = provenAt
	if !provenAt.Before(c.listedAt) {
		entry.fraction = 1 / float64(len(c.entries))
	}
	if released {
		c.recompute()
	}
	return released
}

// expire returns, in order of time, the fractions that had to be set aside since the last call.
func (c *contactTracker) expire(now time.Time) []expiry {
	if c.nextDue.IsZero() || now.Before(c.nextDue) {
		return nil
	}
	var expired []expiry
	setAside := c.setAside
	for _, entry := range c.entries {
		if due := entry.provenAt.Add(c.timeout); !entry.provenAt.IsZero() && !due.After(now) {
			expired = append(expired, expiry{at: due, fraction: entry.fraction})
			entry.provenAt = time.Time{}
		}
	}
	c.recompute()
	c.setAside = setAside
	slices.SortFunc(expired, func(a, b expiry) int { return a.at.Compare(b.at) })
	return expired
}
