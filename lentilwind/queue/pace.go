package queue

import "time"

// paceWeight is the weight of the newest interval in the average.
const paceWeight = 0.1

// paceHalfLife halves the mean while nothing is measured, so that a refusal does not rest on an old one for ever.
const paceHalfLife = time.Second

// pace learns the mean interval between two requests served while others wait.
type pace struct {
	last     time.Time
	measured time.Time
	mean     time.Duration
	started  bool
}

// served takes in that a request was served, and whether others wait still.
func (p *pace) served(now time.Time, busy bool) {
	if p.started {
		interval := now.Sub(p.last)
		if p.mean == 0 {
			p.mean = interval
		}
		p.mean += time.Duration(paceWeight * float64(interval-p.mean))
		p.measured = now
	}
	p.last, p.started = now, busy
}

// idle takes in that nothing waited when the resource was free.
func (p *pace) idle() { p.started = false }

// interval returns the mean with its decay.
func (p *pace) interval(now time.Time) time.Duration {
	const maxHalvings = 62
	halvings := now.Sub(p.measured) / paceHalfLife
	return p.mean >> min(max(halvings, 0), maxHalvings)
}

// expectedWait estimates the wait of one more request of a key: what goes before it, at the learned pace.
//
// The key's requests take turns with the other flows of the class by weight; higher classes go first with all they have.
func (q *Queue[K, V]) expectedWait(c *class[K, V], key K, weight float64, now time.Time) time.Duration {
	before := 0
	for _, higher := range q.classes {
		if higher == c {
			break
		}
		before += higher.length
	}
	own, total := 0.0, c.weight
	if f := c.flows[key]; f != nil {
		own = float64(f.length)
	} else {
		total += weight
	}
	turns := min(float64(c.length), (own+1)*total/weight-1)
	return time.Duration((float64(before) + turns + 1) * float64(q.pace.interval(now)))
}
