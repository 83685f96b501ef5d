package proxy

import (
	"errors"
	"sync"
	"time"

	admission "lentilwind.dev/entry/quota"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// Limits on what is logged about requests.
const (
	// maxFailureLines is how many failed requests are logged in a second. The number of the others is added to the next line.
	maxFailureLines = 50
	// sampleEvery sets the sampling of served requests: one in this many is logged.
	sampleEvery = 200
)

// latencyBounds are the upper bounds of the latency histogram's buckets.
var latencyBounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

// counterKey identifies a counter of finished operations.
type counterKey struct {
	consistency policy.Consistency
	outcome     statement.Outcome
}

// maxLoggedBytes limits a text in a log line that clients or databases have chosen.
const maxLoggedBytes = 128

func clip(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// histogram counts latencies by bucket. The last bucket has no upper bound.
type histogram struct {
	buckets [len(latencyBounds) + 1]uint64
	sum     time.Duration
}

// counters holds the counts that the metrics endpoint reports and the state of log sampling.
type counters struct {
	mu       sync.Mutex
	finished map[counterKey]uint64
	latency  map[policy.Consistency]*histogram
	refused  map[string]uint64
	served   uint64
	// windowStart, lines and suppressed limit the failure lines logged in a second.
	windowStart time.Time
	lines       int
	suppressed  uint64
}

// allowLine reports whether a failure may be logged, and how many were suppressed since the last one that was.
func (c *counters) allowLine(now time.Time) (bool, uint64) {
	if now.Sub(c.windowStart) >= time.Second {
		c.windowStart, c.lines = now, 0
	}
	if c.lines >= maxFailureLines {
		c.suppressed++
		return false, 0
	}
	c.lines++
	suppressed := c.suppressed
	c.suppressed = 0
	return true, suppressed
}

// logRefusal logs an operation that was refused before it was sent to a database; cause may be nil.
func (s *session) logRefusal(id statement.ID, reason string, answer statement.Answer, cause error) {
	p := s.proxy
	now := p.cfg.Now()
	preceding := s.takePreceding()
	p.counters.mu.Lock()
	if p.counters.refused == nil {
		p.counters.refused = make(map[string]uint64)
	}
	p.counters.refused[reason]++
	allowed, suppressed := p.counters.allowLine(now)
	p.counters.mu.Unlock()
	if !allowed {
		return
	}
	version := uint64(0)
	if current := p.Policy(); current != nil {
		version = uint64(current.Version)
	}
	var quotaErr admission.Error
	if found := (*admission.Error)(nil); errors.As(cause, &found) {
		quotaErr = *found
	}
	p.cfg.Log.Info().Str("request", clip(string(id))).Strs("earlier", preceding).Str("database", clip(string(s.database))).Str("workspace", string(s.workspace)).
		Str("reason", reason).Str("outcome", string(answer.Outcome)).Str("detail", clip(answer.Detail)).Uint64("version", version).
		Int64("waitedMs", quotaErr.Waited.Milliseconds()).Int64("contactAgeMs", quotaErr.LeaderContactAge.Milliseconds()).
		Int64("leaseLeftMs", p.leaseUntil.Load().Sub(now).Milliseconds()).Uint64("folded", suppressed).Msg("requestRefused")
}

// logHeldRefusal logs work on a held connection that was refused, with the statement that was to run.
func (p *Proxy) logHeldRefusal(work forward.Work, refusal heldRefusal) {
	id := statement.ProxyID
	if len(work.Statements) > 0 {
		id = work.Statements[0].ID
	}
	p.counters.mu.Lock()
	allowed, suppressed := p.counters.allowLine(p.cfg.Now())
	p.counters.mu.Unlock()
	if allowed {
		p.cfg.Log.Info().Str("request", clip(string(id))).Str("workspace", string(work.Workspace)).Str("reason", string(refusal)).
			Uint64("folded", suppressed).Msg("heldConnectionRefused")
	}
}

// takePreceding returns and clears the statements that preceded an operation.
func (s *session) takePreceding() []string {
	ids := s.preceding
	s.preceding = nil
	return ids
}

// operation describes an operation that was sent to databases, for the log.
type operation struct {
	id       statement.ID
	route    *policy.Route
	started  time.Time
	attempts int
	// minPosition is the position that a replica needed for the last attempt.
	minPosition group.Floor
}

// recordOperation counts and logs a finished operation that was sent to databases.
func (s *session) recordOperation(op operation, answer statement.Answer) {
	p := s.proxy
	now := p.cfg.Now()
	preceding := s.takePreceding()
	elapsed := now.Sub(op.started)
	done := answer.Outcome == statement.Done
	p.counters.mu.Lock()
	p.counters.count(op.route.Consistency, answer.Outcome, elapsed)
	var allowed bool
	var suppressed uint64
	if done {
		p.counters.served++
		allowed = p.counters.served%sampleEvery == 1
	} else {
		allowed, suppressed = p.counters.allowLine(now)
	}
	p.counters.mu.Unlock()
	if !allowed {
		return
	}
	age := time.Duration(0)
	primary := ""
	if c := p.cluster(op.route.Service); c != nil {
		age = c.confirmationAge(now)
		c.mu.Lock()
		primary = string(c.primary)
		c.mu.Unlock()
	}
	event := "requestFailed"
	if done {
		event = "requestServed"
	}
	p.cfg.Log.Info().Str("request", clip(string(op.id))).Strs("earlier", preceding).Str("database", clip(string(s.database))).Str("service", string(op.route.Service)).
		Str("workspace", string(s.workspace)).Str("consistency", string(op.route.Consistency)).Str("outcome", string(answer.Outcome)).
		Str("detail", clip(answer.Detail)).Int64("tookMs", elapsed.Milliseconds()).Int("offers", op.attempts).Str("primary", primary).
		Uint64("floorTerm", uint64(op.minPosition.Term)).Uint64("floorNumber", uint64(op.minPosition.Position)).Int64("proofAgeMs", age.Milliseconds()).
		Uint64("version", uint64(p.Policy().Version)).Int64("leaseLeftMs", p.leaseUntil.Load().Sub(now).Milliseconds()).
		Uint64("folded", suppressed).Msg(event)
}

func (c *counters) count(consistency policy.Consistency, outcome statement.Outcome, elapsed time.Duration) {
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
	for bucket < len(latencyBounds) && elapsed > latencyBounds[bucket] {
		bucket++
	}
	h.buckets[bucket]++
	h.sum += elapsed
}

// logLimit logs a change of how much work a database is believed to take.
func (p *Proxy) logLimit(pool *pool) {
	pool.mu.Lock()
	limit, share, serviceTime, former := pool.limit(pool.now()), pool.maxRunning, pool.meanServiceTime, pool.loggedLimit
	pool.loggedLimit = limit
	pool.mu.Unlock()
	if former == 0 || former == limit {
		return
	}
	p.cfg.Log.Info().Str("server", string(pool.serverName())).Int("limit", limit).Int("former", former).Int("share", share).
		Int64("serviceMicros", serviceTime.Microseconds()).Msg("capacityLearned")
}
