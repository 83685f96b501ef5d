package hlc

import (
	"sync"
	"time"
)

// Timestamp is a hybrid timestamp: Unix milliseconds in the upper 48 bits and a logical counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// FromWallTime returns the first timestamp of the millisecond of t.
func FromWallTime(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) << counterBits }

// WallTime returns the wall-clock part of the timestamp.
func (t Timestamp) WallTime() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// Clock issues strictly increasing timestamps for the events of one process. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns the timestamp of a local event or of a message that is about to be sent.
func (c *Clock) Now(wall time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, FromWallTime(wall))
	return c.last
}

// maxAhead bounds how far a received timestamp may push the clock ahead of the local wall clock.
const maxAhead = time.Hour

// Observe advances the clock to the timestamp of a received message; one that is more than maxAhead ahead is ignored.
func (c *Clock) Observe(wall time.Time, received Timestamp) {
	if received > FromWallTime(wall.Add(maxAhead)) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, received)
}
