package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// Times of single requests.
const (
	// leaderWait is the longest pause before the primary is looked for again.
	leaderWait = 40 * time.Millisecond
	// laggingFor is how long a replica that lacked a position is avoided.
	laggingFor = 100 * time.Millisecond
	// busyFor is how long a server whose slots were full is avoided.
	busyFor = 20 * time.Millisecond
	// busyPause is the time before a busy primary is asked again.
	busyPause = 15 * time.Millisecond
	// clockMargin covers the difference in rate between this clock and those of callers over the longest staleness.
	clockMargin = 50 * time.Millisecond
)

// request is one statement outside a transaction.
type request struct {
	session *session
	route   *policy.Route
	cluster *cluster
	what    resolved
	began   time.Time
	tried   []*pool
	offers  int
	// least is the floor of the last offer to a replica.
	least group.Floor
}

func (r *request) left() time.Duration {
	return r.route.Timeout - r.session.proxy.cfg.Now().Sub(r.began)
}

func (r *request) run() statement.Answer {
	if r.cluster == nil {
		return statement.Refuse(statement.Busy, "no database of the service is known", statement.Idle)
	}
	var answer statement.Answer
	switch {
	case !r.what.readOnly:
		answer = r.write()
	case r.route.Consistency == policy.Newest:
		answer = r.readNewest()
	default:
		answer = r.readStale()
	}
	r.session.finished(operation{id: r.what.ID, route: r.route, began: r.began, offers: r.offers, floor: r.least}, answer)
	return answer
}

// onLeader offers the request to the primary until it was run or the time is over.
//
// The function try reports false when the statement has certainly not run and may be offered again.
func (r *request) onLeader(try func(p *pool) (statement.Answer, bool)) statement.Answer {
	last := statement.Refuse(statement.Busy, "no primary is known", statement.Idle)
	for {
		changed := r.cluster.watch()
		now := r.session.proxy.cfg.Now()
		p := r.cluster.leader(now)
		overloaded := false
		if p != nil {
			answer, final := try(p)
			overloaded = answer.Outcome == statement.Busy && answer.Detail == errTooLong.Error()
			if final {
				return answer
			}
			last = answer
			if answer.Outcome == statement.ReadOnlyServer {
				r.cluster.notPrimary(p, now)
				last.Outcome = statement.Busy
				last.Detail = "the primary is being replaced"
				if next := r.cluster.leader(now); next != nil {
					continue
				}
			}
		}
		if r.left() <= minOffer || overloaded && r.patience() <= minPatience {
			return last
		}
		pause(changed, min(leaderWait, r.left()))
	}
}

func pause(changed <-chan struct{}, limit time.Duration) {
	clock := time.NewTimer(limit)
	defer clock.Stop()
	select {
	case <-changed:
	case <-clock.C:
	}
}

// work returns the work of the request's statement.
func (r *request) work(timeout time.Duration, statements ...statement.Statement) forward.Work {
	return forward.Work{
		Workspace: r.session.workspace, Values: r.session.values, Prepared: r.what.shape, Statements: statements,
		Timeout: max(timeout, minOffer), Priority: r.route.Priority, MaxQueueWait: r.patience(),
	}
}

// patience is how long the statement may wait for its turn: as long as it can still be of use in time.
func (r *request) patience() time.Duration {
	waited := r.session.proxy.cfg.Now().Sub(r.began)
	return max(minPatience, min(r.left(), time.Duration(patienceShare*float64(r.route.Target))-waited))
}

const (
	// patienceShare is the part of the latency target that may pass in line.
	patienceShare = 0.6
	minPatience   = 20 * time.Millisecond
)

// offer has work done at a database and counts it unless nothing was sent.
func (r *request) offer(p *pool, work forward.Work) (forward.Result, *home) {
	result, at := r.session.proxy.run(p, work)
	if result.Failure != forward.NotSent {
		r.offers++
	}
	return result, at
}

// unanswered tells the truth about a statement that got no answer; false means that it has not been sent.
func unanswered(result forward.Result) (statement.Answer, bool) {
	switch result.Failure {
	case forward.NotSent:
		return statement.Refuse(statement.Busy, result.Detail, statement.Idle), false
	case forward.TimedOut:
		return statement.Refuse(statement.TimedOut, "the database has not answered in time", statement.Idle), true
	default:
		return statement.Refuse(statement.Unknown, "the connection broke before the answer", statement.Idle), true
	}
}

// write runs a single write on the primary; it is sent again only after a server said that it has not run.
func (r *request) write() statement.Answer {
	return r.onLeader(func(p *pool) (statement.Answer, bool) {
		sent := r.session.proxy.cfg.Now()
		result, _ := r.offer(p, r.work(r.left(), r.what.Statement))
		if result.Failure != "" {
			return unanswered(result)
		}
		answer := result.Answers[0]
		switch answer.Outcome {
		case statement.Done:
			r.cluster.proven(p, answer.Position, sent)
			r.session.remember(r.route.Service, answer.Position)
			return answer, true
		case statement.Busy:
			time.Sleep(min(busyPause, max(0, r.left()-minOffer)))
			return answer, r.left() <= minOffer
		default:
			return answer, !answer.Outcome.NotRun()
		}
	})
}

func (s *session) remember(service group.Service, position group.Floor) {
	if s.written[service].Less(position) {
		s.written[service] = position
	}
}
