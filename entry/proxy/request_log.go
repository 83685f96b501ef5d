package proxy

import (
	"errors"
	"sync"
	"time"

	admission "lentilwind.dev/entry/quota"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// Bounds of what is logged about requests.
const (
	// maxFailureLines is how many failed requests a second have a line of their own; the others are counted in one line.
	maxFailureLines = 50
	// sampleEvery is how many served requests share one line.
	sampleEvery = 200
)

// latencyBounds are the upper ends of the latency histogram's buckets.
var latencyBounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

// counterKey names one counter of finished operations.
type counterKey struct {
	consistency policy.Consistency
	outcome     statement.Outcome
}

// histogram counts latencies by bucket; the last one has no upper end.
type histogram struct {
	buckets [len(latencyBounds) + 1]uint64
	sum     time.Duration
}

// counters holds what the metrics page shows.
type counters struct {
	mu       sync.Mutex
	finished map[counterKey]uint64
	latency  map[policy.Consistency]*histogram
	refused  map[string]uint64
	served   uint64
	// second, lines and folded bound the failure lines of the current second.
	second time.Time
	lines  int
	folded uint64
}

// mayLog reports whether a failure gets a line, and how many were folded since the last one that did.
func (c *counters) mayLog(now time.Time) (bool, uint64) {
	if now.Sub(c.second) >= time.Second {
		c.second, c.lines = now, 0
	}
	if c.lines >= maxFailureLines {
		c.folded++
		return false, 0
	}
	c.lines++
	folded := c.folded
	c.folded = 0
	return true, folded
}

// logRefusal records an operation that was refused before it was offered to a database; cause may be nil.
func (s *session) logRefusal(id statement.ID, reason string, answer statement.Answer, cause error) {
	p := s.proxy
	now := p.cfg.Now()
	earlier := s.takeEarlier()
	p.counters.mu.Lock()
	if p.counters.refused == nil {
		p.counters.refused = make(map[string]uint64)
	}
	p.counters.refused[reason]++
	log, folded := p.counters.mayLog(now)
	p.counters.mu.Unlock()
	if !log {
		return
	}
	version := uint64(0)
	if current := p.Policy(); current != nil {
		version = uint64(current.Version)
	}
	var over admission.Error
	if found := (*admission.Error)(nil); errors.As(cause, &found) {
		over = *found
	}
	p.cfg.Log.Info().Str("request", string(id)).Strs("earlier", earlier).Str("database", string(s.database)).Str("workspace", string(s.workspace)).
		Str("reason", reason).Str("outcome", string(answer.Outcome)).Str("detail", answer.Detail).Uint64("version", version).
		Int64("waitedMs", over.Waited.Milliseconds()).Int64("contactAgeMs", over.LeaderContactAge.Milliseconds()).
		Int64("leaseLeftMs", p.leaseUntil.Load().Sub(now).Milliseconds()).Uint64("folded", folded).Msg("requestRefused")
}

// takeEarlier returns the statements that led to an operation and forgets them.
func (s *session) takeEarlier() []string {
	ids := make([]string, len(s.earlier))
	for i, id := range s.earlier {
		ids[i] = string(id)
	}
	s.earlier = s.earlier[:0]
	return ids
}

// operation is what the log tells of an operation that was offered to databases.
type operation struct {
	id     statement.ID
	route  *policy.Route
	began  time.Time
	offers int
	// floor is the position that a replica needed for its last offer.
	floor group.Floor
}

// finished records the end of an operation that was offered to databases.
func (s *session) finished(o operation, answer statement.Answer) {
	p := s.proxy
	now := p.cfg.Now()
	earlier := s.takeEarlier()
	took := now.Sub(o.began)
	done := answer.Outcome == statement.Done
	p.counters.mu.Lock()
	p.counters.count(o.route.Consistency, answer.Outcome, took)
	var log bool
	var folded uint64
	if done {
		p.counters.served++
		log = p.counters.served%sampleEvery == 1
	} else {
		log, folded = p.counters.mayLog(now)
	}
	p.counters.mu.Unlock()
	if !log {
		return
	}
	age := time.Duration(0)
	primary := ""
	if c := p.cluster(o.route.Service); c != nil {
		age = c.proofAge(now)
		c.mu.Lock()
		primary = string(c.primary)
		c.mu.Unlock()
	}
	event := "requestFailed"
	if done {
		event = "requestServed"
	}
	p.cfg.Log.Info().Str("request", string(o.id)).Strs("earlier", earlier).Str("database", string(s.database)).Str("service", string(o.route.Service)).
		Str("workspace", string(s.workspace)).Str("consistency", string(o.route.Consistency)).Str("outcome", string(answer.Outcome)).
		Str("detail", answer.Detail).Int64("tookMs", took.Milliseconds()).Int("offers", o.offers).Str("primary", primary).
		Uint64("floorTerm", uint64(o.floor.Term)).Uint64("floorNumber", uint64(o.floor.Position)).Int64("proofAgeMs", age.Milliseconds()).
		Uint64("version", uint64(p.Policy().Version)).Int64("leaseLeftMs", p.leaseUntil.Load().Sub(now).Milliseconds()).
		Uint64("folded", folded).Msg(event)
}

func (c *counters) count(consistency policy.Consistency, outcome statement.Outcome, took time.Duration) {
	if c.finished == nil {
		c.finished = make(map[counterKey]uint64)
		c.latency = make(map[policy.Consistency]*histogram)
	}
	c.finished[counterKey{consistency, outcome}]++
	h := c.latency[consistency]
	if h == nil {
		h = &histogram{}
		c.latency[consistency] = h
	}
	bucket := 0
	for bucket < len(latencyBounds) && took > latencyBounds[bucket] {
		bucket++
	}
	h.buckets[bucket]++
	h.sum += took
}
