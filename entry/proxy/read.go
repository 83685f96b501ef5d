package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// readLatest runs a read on the primary, in a transaction that confirms that the server is still the primary.
func (r *request) readLatest() statement.Answer {
	r.session.proxy.hedges.AddRequest()
	return r.tryOnPrimary(func(p *pool) (statement.Answer, bool) {
		sent := r.session.proxy.cfg.Now()
		result := r.attemptWithHedge(p)
		if refusal, ok := r.checkBegin(p, result, sent); !ok {
			return refusal, !refusal.Outcome.NotRun() || r.remaining() <= minAttemptTime
		}
		if len(result.Answers) == 0 {
			answer, _ := failureAnswer(result)
			return answer, r.remaining() <= minAttemptTime
		}
		return r.evaluateRead(result.Answers[0])
	})
}

// attemptWithHedge sends a read of the latest state to the primary, and again on another connection if the answer is late.
func (r *request) attemptWithHedge(p *pool) forward.Result {
	results := make(chan forward.Result, 2)
	work := r.work(r.remaining(), r.stmt.Statement)
	work.Begin = &beginReadWrite
	proxy := r.session.proxy
	attempt := func(work forward.Work, avoided *owner) {
		r.attempts++
		go func() {
			result, _ := proxy.run(p, work, r.homes, avoided)
			results <- result
		}()
	}
	first := proxy.ownerOf(p, work.Workspace, r.homes, nil)
	attempt(work, nil)
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	select {
	case result := <-results:
		return result
	case <-hedge.C:
	}
	if !proxy.hedges.TryRetry() {
		return <-results
	}
	work.Timeout, work.MaxQueueWait = max(r.remaining(), minAttemptTime), r.maxQueueWait()
	if !p.hasOtherPaths() {
		first = nil
	}
	attempt(work, first)
	earlier := <-results
	if len(earlier.Answers) > 0 {
		return earlier
	}
	return <-results
}

// checkBegin reports whether a server accepted the transaction that confirms it as the primary. If not, it returns the refusal.
func (r *request) checkBegin(p *pool, result forward.Result, sent time.Time) (statement.Answer, bool) {
	if result.BeginAnswer == nil {
		return statement.FailureAnswer(statement.Busy, "the primary has not answered: "+result.Detail, statement.Idle), false
	}
	if result.BeginAnswer.Outcome != statement.Done {
		return *result.BeginAnswer, false
	}
	if !r.cluster.confirmPrimary(p, proofBegin, result.BeginAnswer.Position, sent, r.session.proxy.cfg.Now()) {
		return statement.FailureAnswer(statement.Busy, "the primary is being replaced", statement.Idle), false
	}
	return statement.Answer{}, true
}

// evaluateRead reports whether the answer to a read is final. Reads may be repeated while time remains.
func (r *request) evaluateRead(answer statement.Answer) (statement.Answer, bool) {
	if answer.Outcome == statement.Done || answer.Outcome == statement.Malformed {
		return answer, true
	}
	if answer.Outcome == statement.Busy {
		time.Sleep(min(busyRetryDelay, max(0, r.remaining()-minAttemptTime)))
	}
	return answer, r.remaining() <= minAttemptTime || r.attempts > maxReadAttempts
}

// maxReadAttempts limits how often a read is sent to databases that fail it.
const maxReadAttempts = 6

// readFromReplica runs a read on the best server that has reached the needed position, and on a second one if the first is slow.
func (r *request) readFromReplica() statement.Answer {
	minPosition, known := r.findMinPosition()
	if !known {
		return r.readLatest()
	}
	r.minPosition = minPosition
	r.session.proxy.hedges.AddRequest()
	last := statement.FailureAnswer(statement.Busy, "no database can be reached", statement.Idle)
	results := make(chan attemptResult, maxReadAttempts+1)
	running := 0
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for r.remaining() > minAttemptTime && r.attempts <= maxReadAttempts {
		if running == 0 && !r.startAttempt(results) {
			if len(r.tried) == 0 {
				return r.readLatest()
			}
			if r.maxQueueWait() <= minQueueWait {
				return last
			}
			r.tried = nil
			time.Sleep(min(busyRetryDelay, r.remaining()))
			continue
		}
		running = max(running, 1)
		select {
		case result := <-results:
			running--
			answer, final := r.evaluateAttempt(result)
			if final {
				return answer
			}
			last = answer
		case <-hedge.C:
			if r.session.proxy.hedges.TryRetry() && r.startAttempt(results) {
				running++
			}
			hedge.Reset(r.hedgeDelay())
		case <-time.After(r.remaining()):
		}
	}
	return last
}

// findMinPosition returns the position that a server must have reached for this read. If necessary, it asks the primary for its position,
// which takes no slot there.
//
// Concurrent reads share one probe. Otherwise they would overload the primary after a restart.
func (r *request) findMinPosition() (group.Floor, bool) {
	for {
		now := r.session.proxy.cfg.Now()
		minPosition, known := r.cluster.minPosition(now, r.route.MaxStaleness-clockMargin, r.sessionMinPosition())
		if known || r.maxQueueWait() <= minQueueWait {
			return minPosition, known
		}
		isProber, probeEnded := r.cluster.startProbe()
		if isProber {
			confirmed := r.probePrimary()
			r.cluster.endProbe()
			if !confirmed {
				return group.Floor{}, false
			}
			continue
		}
		waitForChange(probeEnded, r.maxQueueWait())
	}
}

// probePriority puts probes of the primary before all other work, because they are short and many requests wait for them.
const probePriority = -1

// probePrimary asks the primary for its position in a transaction of its own. It reports whether a primary was confirmed.
func (r *request) probePrimary() bool {
	p := r.cluster.likelyPrimary(r.session.proxy.cfg.Now())
	if p == nil {
		return false
	}
	sent := r.session.proxy.cfg.Now()
	result, _ := r.session.proxy.run(p, forward.Work{
		Workspace: r.session.workspace, Begin: &beginReadWrite, Timeout: max(r.maxQueueWait(), minAttemptTime), MaxQueueWait: r.maxQueueWait(), Priority: probePriority,
	}, r.homes, nil)
	refusal, confirmed := r.checkBegin(p, result, sent)
	if refusal.Outcome == statement.ReadOnlyServer {
		r.cluster.markNotPrimary(p, sent)
	}
	return confirmed
}

// hedgeDelay is how long a read may go unanswered before it is also sent to a second server.
func (r *request) hedgeDelay() time.Duration {
	return max(minHedgeDelay, r.route.TargetLatency/hedgeDelayDivisor)
}

const (
	// hedgeDelayDivisor gives the delay as a fraction of the latency target, so that enough time is left for a second server.
	hedgeDelayDivisor = 3
	minHedgeDelay     = 50 * time.Millisecond
	// hedgeRatio limits hedged reads as a fraction of all reads. hedgeBurst is how many may be sent at once when an entry or a data centre
	// stops answering.
	hedgeRatio = 0.1
	hedgeBurst = 60
)

// attemptResult is the result of one attempt to run a read on a server.
type attemptResult struct {
	pool   *pool
	result forward.Result
}

// startAttempt sends the read to the best server that was not tried yet. It reports false if there is none.
func (r *request) startAttempt(results chan<- attemptResult) bool {
	p := r.cluster.bestReadServer(r.homes, r.tried)
	if p == nil {
		return false
	}
	r.tried = append(r.tried, p)
	st := r.stmt.Statement
	st.MinPosition = r.minPosition
	work := r.work(r.remaining(), st)
	proxy := r.session.proxy
	go func() {
		result, _ := proxy.run(p, work, r.homes, nil)
		results <- attemptResult{p, result}
	}()
	return true
}

// evaluateAttempt reports whether the result of an attempt is final.
func (r *request) evaluateAttempt(attempt attemptResult) (statement.Answer, bool) {
	if attempt.result.Failure != forward.NotSent {
		r.attempts++
	}
	if attempt.result.Failure != "" {
		if attempt.result.Failure != forward.NotSent {
			attempt.pool.recordRead(true)
		}
		answer, _ := failureAnswer(attempt.result)
		return answer, false
	}
	now := r.session.proxy.cfg.Now()
	answer := attempt.result.Answers[0]
	switch answer.Outcome {
	case statement.Done, statement.RunFailed:
		attempt.pool.recordRead(answer.Outcome == statement.RunFailed)
	case statement.Lagging:
		attempt.pool.markLagging(now.Add(laggingPeriod))
		return answer, false
	case statement.Busy:
		attempt.pool.markBusy(now.Add(busyPeriod))
		return answer, false
	}
	return r.evaluateRead(answer)
}

func (r *request) sessionMinPosition() group.Floor {
	if r.route.Consistency != policy.ReadYourWrites {
		return group.Floor{}
	}
	return r.session.lastWrite[r.route.Service]
}

// isLocal reports whether a server is in this entry's data centre.
func (p *Proxy) isLocal(s fleet.Server) bool { return s.DataCentre == p.cfg.DataCentre }
