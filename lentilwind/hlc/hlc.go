package hlc

import (
	"sync"
	"time"
)

// Timestamp is a hybrid time stamp: milliseconds since 1970 in the upper 48 bits, a counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// FromWallTime returns the first time stamp of a wall-clock millisecond.
func FromWallTime(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) << counterBits }

// WallTime returns the wall-clock part of the time stamp.
func (t Timestamp) WallTime() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// Clock gives time stamps that rise with every event of one process.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now stamps a local event or a message that is about to be sent.
func (c *Clock) Now(wall time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, FromWallTime(wall))
	return c.last
}

// maxAhead bounds how far a received stamp may push the clock beyond the wall clock.
const maxAhead = time.Hour

// Observe takes in the time stamp of a received message.
func (c *Clock) Observe(wall time.Time, received Timestamp) {
	if received > FromWallTime(wall.Add(maxAhead)) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, received)
}
