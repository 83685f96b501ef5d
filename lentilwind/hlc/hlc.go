package hlc

import (
	"sync"
	"time"
)

// Time is a hybrid time stamp: milliseconds since 1970 in the upper 48 bits, a counter in the lower 16.
type Time uint64

const counterBits = 16

// FromWall returns the first time stamp of a wall-clock millisecond.
func FromWall(t time.Time) Time { return Time(t.UnixMilli()) << counterBits }

// Wall returns the wall-clock part of the time stamp.
func (t Time) Wall() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// Clock gives time stamps that rise with every event of one process.
type Clock struct {
	mu   sync.Mutex
	last Time
}

// Now stamps a local event or a message that is about to be sent.
func (c *Clock) Now(wall time.Time) Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, FromWall(wall))
	return c.last
}

// maxAhead bounds how far a received stamp may push the clock beyond the wall clock.
const maxAhead = time.Hour

// Observe takes in the time stamp of a received message.
func (c *Clock) Observe(wall time.Time, received Time) {
	if received > FromWall(wall.Add(maxAhead)) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, received)
}
