package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// Time limits of single requests.
const (
	// maxPrimaryRetryWait is the longest wait before the primary is tried again.
	maxPrimaryRetryWait = 40 * time.Millisecond
	// laggingPeriod is how long a replica that lacked a position is avoided.
	laggingPeriod = 100 * time.Millisecond
	// busyPeriod is how long a server whose slots were all taken is avoided.
	busyPeriod = 20 * time.Millisecond
	// busyRetryDelay is the delay before a busy server is tried again.
	busyRetryDelay = 15 * time.Millisecond
	// clockMargin covers the drift between this clock and those of clients over the longest staleness bound.
	clockMargin = 50 * time.Millisecond
)

// request is one statement outside a transaction, or the first statement of a transaction.
type request struct {
	session *session
	route   *policy.Route
	cluster *cluster
	stmt    resolvedStatement
	// homes are the regions that the request may reach.
	homes    policy.Homes
	started  time.Time
	tried    []*pool
	attempts int
	// minPosition is the position that a replica needs for the read.
	minPosition group.Floor
}

func (r *request) remaining() time.Duration {
	return r.route.Timeout - r.session.proxy.cfg.Now().Sub(r.started)
}

func (r *request) run() statement.Answer {
	if r.cluster == nil {
		return statement.FailureAnswer(statement.Busy, "no database of the service is known", statement.Idle)
	}
	var answer statement.Answer
	switch {
	case !r.stmt.readOnly:
		answer = r.write()
	case r.route.Consistency == policy.Strong:
		answer = r.readLatest()
	default:
		answer = r.readFromReplica()
	}
	r.session.recordOperation(operation{id: r.stmt.ID, route: r.route, started: r.started, attempts: r.attempts, minPosition: r.minPosition}, answer)
	return answer
}

// tryOnPrimary calls try with the likely primary until the statement has run or the timeout is used up.
//
// The function try reports false if the statement certainly has not run and may be tried again.
func (r *request) tryOnPrimary(try func(p *pool) (statement.Answer, bool)) statement.Answer {
	last := statement.FailureAnswer(statement.Busy, "no primary is known", statement.Idle)
	for {
		changed := r.cluster.watch()
		now := r.session.proxy.cfg.Now()
		p := r.cluster.likelyPrimary(now)
		overloaded := false
		switch {
		case p == nil && r.cluster.isWithdrawn():
			return statement.FailureAnswer(statement.Busy, evacuatedDetail, statement.Idle)
		case p == nil && r.cluster.isDrained(now):
			return statement.FailureAnswer(statement.Busy, errDrained.Error(), statement.Idle)
		case p != nil && !r.session.proxy.isHome(r.homes, p.server.DataCentre):
			return statement.FailureAnswer(statement.Busy, outsideHomesDetail, statement.Idle)
		}
		if p != nil {
			answer, final := try(p)
			overloaded = answer.Outcome == statement.Busy && isOverload(answer.Detail)
			if final {
				return answer
			}
			last = answer
			if answer.Outcome == statement.ReadOnlyServer {
				r.cluster.markNotPrimary(p, now)
				last.Outcome = statement.Busy
				last.Detail = "the primary is being replaced"
				if next := r.cluster.likelyPrimary(now); next != nil {
					continue
				}
			}
		}
		if r.remaining() <= minAttemptTime || r.cluster.leaseLapsed(now) || overloaded && r.maxQueueWait() <= minQueueWait {
			return last
		}
		waitForChange(changed, min(maxPrimaryRetryWait, r.remaining()))
	}
}

// isOverload reports whether the detail of a refusal means that waiting work or a bound leaves no room.
func isOverload(detail string) bool {
	return detail == errWaitTooLong.Error() || detail == errCold.Error()
}

func waitForChange(changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// work returns work that runs the given statements for this request.
func (r *request) work(timeout time.Duration, statements ...statement.Statement) forward.Work {
	return forward.Work{
		Workspace: r.session.workspace, Values: r.session.values, Prepared: r.stmt.prepared, Statements: statements,
		Timeout: max(timeout, minAttemptTime), Priority: r.route.Class, MaxQueueWait: r.maxQueueWait(),
	}
}

// maxQueueWait is how long the statement may wait in a queue and still be answered within the latency target.
func (r *request) maxQueueWait() time.Duration {
	waited := r.session.proxy.cfg.Now().Sub(r.started)
	return max(minQueueWait, min(r.remaining(), time.Duration(queueWaitShare*float64(r.route.TargetLatency))-waited))
}

const (
	// queueWaitShare is the fraction of the latency target that may be spent in a queue.
	queueWaitShare = 0.6
	minQueueWait   = 20 * time.Millisecond
)

// attempt runs work on a database. It counts as an attempt unless nothing was sent.
func (r *request) attempt(p *pool, work forward.Work) (forward.Result, *peerEntry) {
	result, owner := r.session.proxy.run(p, work, r.homes, nil)
	if result.Failure != forward.NotSent {
		r.attempts++
	}
	return result, owner
}

// failureAnswer returns the answer for a statement that the database did not answer. It reports false if the statement was not sent.
func failureAnswer(result forward.Result) (statement.Answer, bool) {
	switch result.Failure {
	case forward.NotSent:
		return statement.FailureAnswer(statement.Busy, result.Detail, statement.Idle), false
	case forward.TimedOut:
		return statement.FailureAnswer(statement.TimedOut, "the database has not answered in time", statement.Idle), true
	default:
		return statement.FailureAnswer(statement.Unknown, "the connection broke before the answer", statement.Idle), true
	}
}

// write runs a single write on the primary. It is sent again only if a server has reported that it did not run.
func (r *request) write() statement.Answer {
	return r.tryOnPrimary(func(p *pool) (statement.Answer, bool) {
		sent := r.session.proxy.cfg.Now()
		write, allowed := r.cluster.beginWrite(p, sent)
		if !allowed {
			return failureAnswer(replacedResult())
		}
		result, _ := r.attempt(p, r.work(r.remaining(), r.stmt.Statement))
		now := r.session.proxy.cfg.Now()
		confirmed := write.end(now)
		if result.Failure != "" {
			return failureAnswer(result)
		}
		answer := result.Answers[0]
		switch answer.Outcome {
		case statement.Done:
			if !confirmed {
				return unconfirmedAnswer(statement.Idle), true
			}
			r.cluster.confirmPrimary(p, proofWrite, answer.Position, sent, now)
			r.session.recordWrite(r.route.Service, answer.Position)
			return answer, true
		case statement.Busy:
			time.Sleep(min(busyRetryDelay, max(0, r.remaining()-minAttemptTime)))
			return answer, r.remaining() <= minAttemptTime
		default:
			return answer, !answer.Outcome.NotRun()
		}
	})
}

func (s *session) recordWrite(service group.Service, position group.Floor) {
	if s.lastWrite[service].Less(position) {
		s.lastWrite[service] = position
	}
}
