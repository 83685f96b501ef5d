package queue

import "time"

// intervalWeight is the weight of the newest interval in the moving average.
const intervalWeight = 0.1

// intervalHalfLife is the time without measurements that halves the mean, so that requests are not refused because of an
// outdated mean.
const intervalHalfLife = time.Second

// intervalEstimator estimates the mean interval between two served requests while others wait.
type intervalEstimator struct {
	lastServed time.Time
	measuredAt time.Time
	mean       time.Duration
	busy       bool
}

// recordServed records that a request was served, and whether others are still waiting.
func (e *intervalEstimator) recordServed(now time.Time, waiting bool) {
	if e.busy {
		interval := now.Sub(e.lastServed)
		if e.mean == 0 {
			e.mean = interval
		}
		e.mean += time.Duration(intervalWeight * float64(interval-e.mean))
		e.measuredAt = now
	}
	e.lastServed, e.busy = now, waiting
}

// recordIdle records that no request waited when the resource was free.
func (e *intervalEstimator) recordIdle() { e.busy = false }

// current returns the mean after its decay.
func (e *intervalEstimator) current(now time.Time) time.Duration {
	const maxHalvings = 62
	halvings := now.Sub(e.measuredAt) / intervalHalfLife
	return e.mean >> min(max(halvings, 0), maxHalvings)
}

// expectedWait estimates the wait of one more request of a key from the number of requests served before it and the mean
// service interval.
//
// Within its class, the key's flow takes turns with the other flows by weight. All requests of higher classes are served
// before it.
func (q *Queue[K, V]) expectedWait(c *class[K, V], key K, weight float64, hint time.Duration, now time.Time) time.Duration {
	higherLength := 0
	for _, higher := range q.classes {
		if higher == c {
			break
		}
		higherLength += higher.length
	}
	ownLength, totalWeight := 0.0, c.weight
	if f := c.flows[key]; f != nil {
		ownLength = float64(f.length)
	} else {
		totalWeight += weight
	}
	turns := min(float64(c.length), (ownLength+1)*totalWeight/weight-1)
	interval := q.serviceInterval.current(now)
	if interval == 0 {
		interval = hint
	}
	return time.Duration((float64(higherLength) + turns + 1) * float64(interval))
}
