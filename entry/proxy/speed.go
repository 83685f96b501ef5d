package proxy

import (
	"math"
	"time"
)

// serverSpeed is what an entry knows of a server's speed, from its own work and from the reports of the owners.
//
// It answers servers of different speed, and servers that fail part of their requests while they look well: work goes to them as far as they
// take it.
type serverSpeed struct {
	serviceTime   time.Duration
	serviceTimeAt time.Time
	failureRate   float64
	failureRateAt time.Time
}

const (
	// speedWeight and outcomeWeight are the weights of a new sample in the moving averages.
	speedWeight   = 0.2
	outcomeWeight = 0.1
	// speedLifetime is how long a service time is used without new reports, so that a slow server is tried again.
	speedLifetime = 3 * time.Second
	// failureHalfLife is the time without reads that halves the failure rate.
	failureHalfLife = time.Second
)

func (s *serverSpeed) observeServiceTime(now time.Time, serviceTime time.Duration) {
	if now.Sub(s.serviceTimeAt) >= speedLifetime {
		s.serviceTime = serviceTime
	}
	s.serviceTime += time.Duration(speedWeight * float64(serviceTime-s.serviceTime))
	s.serviceTimeAt = now
}

func (s *serverSpeed) observeOutcome(now time.Time, failed bool) {
	_, rate := s.current(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failureRate, s.failureRateAt = rate+outcomeWeight*(outcome-rate), now
}

// current returns the service time, or 0 if it is not known, and the failure rate.
func (s *serverSpeed) current(now time.Time) (time.Duration, float64) {
	rate := s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
	if now.Sub(s.serviceTimeAt) >= speedLifetime {
		return 0, rate
	}
	return s.serviceTime, rate
}

// Costs by which servers are compared for a read. The unit is one running statement on a local server of ordinary speed.
const (
	// remoteCost is the cost of traffic between data centres, which is expensive.
	remoteCost = 2
	// minPrimaryCost and the slots of the primary keep it free for what only it can run: a read goes there if every replica has so much more work.
	minPrimaryCost = 2
	busyCost       = 6
	// laggingCost excludes a replica that recently lacked a position as long as any other server has capacity.
	laggingCost = 200
	// failureCost is the cost of a server that fails all reads.
	failureCost = 20
	// minSlowdown is the service time, relative to that of the fastest server, from which a server counts as slow. Smaller differences come from
	// the mix of the requests. maxSlowdown bounds it.
	minSlowdown = 2
	maxSlowdown = 10
)

// readCost returns the cost of a read at a server. The reference is the service time of the fastest one.
func readCost(s serverStatus, reference time.Duration, local, primary bool) float64 {
	slowdown := 1.0
	if s.serviceTime > 0 && reference > 0 {
		if relative := float64(s.serviceTime) / float64(reference); relative >= minSlowdown {
			slowdown = min(relative, maxSlowdown)
		}
	}
	cost := float64(s.workCount+1)*slowdown + failureCost*s.failureRate
	if !local {
		cost += remoteCost
	}
	if primary {
		cost += float64(max(minPrimaryCost, s.slots))
	}
	if s.busy {
		cost += busyCost
	}
	if s.lagging {
		cost += laggingCost
	}
	return cost
}
