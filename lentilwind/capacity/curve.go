package capacity

import "time"

// Class is a kind of work whose service times are alike, such as the requests of one priority.
type Class int

// Curve learns the throughput of a server at each number of statements that run on it at once. It is not safe for concurrent use.
//
// It answers servers that slow down long before all their slots are taken: beyond some number each further statement only makes the others
// slower, so it had better wait in a queue that knows priorities and deadlines. A server that is slow at any number is not held back, since
// fewer statements would not make it faster.
type Curve struct {
	classes map[Class]*average
	// relative holds, for each number of statements, the mean service time relative to that of a single one.
	relative []average
	// limit was computed at computedAt for computedMost.
	limit        int
	computedAt   time.Time
	computedMost int
}

// Parameters of a Curve.
const (
	// classWeight and relativeWeight are the weights of a new sample in the moving averages. Service times scatter by more than half of their
	// mean, so a few hundred samples are needed to tell neighbouring numbers of statements apart.
	classWeight    = 0.01
	relativeWeight = 0.01
	// minSamples is the number of samples from which on an average is used.
	minSamples = 40
	// sampleLifetime is the time without samples after which an average is not used any more, so that a limit does not last.
	sampleLifetime = 20 * time.Second
	// enoughPower is the part of the best power with which a number of statements is chosen. Smaller differences can't be told from the scatter.
	enoughPower = 0.8
	// maxRelative bounds the effect of a single slow statement.
	maxRelative = 5
	// probeInterval is the time between two probes of one statement more than the limit, and probeDuration how long each takes.
	probeInterval = 2 * time.Second
	probeDuration = 300 * time.Millisecond
	// computeInterval is the time between two computations of the limit.
	computeInterval = 100 * time.Millisecond
)

// average is a moving average with the number of its samples.
type average struct {
	mean    float64
	samples int
	at      time.Time
}

func (a *average) add(value, weight float64, now time.Time) {
	a.samples++
	a.mean += max(weight, 1/float64(a.samples)) * (value - a.mean)
	a.at = now
}

// Observe records the service time of a statement that ran while the given number of statements, itself included, ran on the server.
func (c *Curve) Observe(now time.Time, class Class, running int, serviceTime time.Duration) {
	if running < 1 || serviceTime <= 0 {
		return
	}
	if c.classes == nil {
		c.classes = make(map[Class]*average)
	}
	mean := c.classes[class]
	if mean == nil {
		mean = &average{}
		c.classes[class] = mean
	}
	for len(c.relative) < running {
		c.relative = append(c.relative, average{mean: c.lastRelative()})
	}
	at := &c.relative[running-1]
	// The mean of a class is that of a single statement, so it stays the same when the number of statements changes.
	mean.add(serviceTime.Seconds()/at.mean, classWeight, now)
	if now.Sub(at.at) >= sampleLifetime {
		at.samples = 0
	}
	at.add(min(serviceTime.Seconds()/mean.mean, maxRelative*at.mean), relativeWeight, now)
}

func (c *Curve) lastRelative() float64 {
	if len(c.relative) == 0 {
		return 1
	}
	return c.relative[len(c.relative)-1].mean
}

// normalize scales the means so that the lowest known number of statements has 1.
func (c *Curve) normalize() {
	for _, a := range c.relative {
		if a.samples < minSamples {
			continue
		}
		scale := a.mean
		for i := range c.relative {
			c.relative[i].mean /= scale
		}
		for _, class := range c.classes {
			class.mean *= scale
		}
		return
	}
}

// Limit returns how many statements should run at once, at least 1 and at most the given number: as many as the server takes well.
// From time to time it is one higher for a moment, so that a server that takes more than before is noticed.
func (c *Curve) Limit(now time.Time, most int) int {
	if c.limit == 0 || most != c.computedMost || now.Sub(c.computedAt) >= computeInterval {
		c.limit, c.computedAt, c.computedMost = c.compute(now, max(1, most)), now, most
	}
	if c.limit < most && time.Duration(now.UnixNano())%probeInterval < probeDuration {
		return c.limit + 1
	}
	return c.limit
}

// compute returns the highest number of statements with nearly the best power, which is the throughput divided by the service time. Up to the
// number that the server takes well the power grows, and beyond it falls. Numbers above all those with samples are not held back.
func (c *Curve) compute(now time.Time, most int) int {
	c.normalize()
	best, highest := 0.0, 0
	for n := 1; n <= min(most, len(c.relative)); n++ {
		if c.recent(n, now) {
			best, highest = max(best, c.power(n)), n
		}
	}
	for n := highest; n >= 1; n-- {
		if c.recent(n, now) && c.power(n) >= enoughPower*best {
			if n == highest {
				return most
			}
			return n
		}
	}
	return most
}

func (c *Curve) power(n int) float64 {
	relative := c.relative[n-1].mean
	return float64(n) / (relative * relative)
}

// recent reports whether a number of statements has enough recent samples.
func (c *Curve) recent(n int, now time.Time) bool {
	a := c.relative[n-1]
	return a.samples >= minSamples && now.Sub(a.at) < sampleLifetime
}
