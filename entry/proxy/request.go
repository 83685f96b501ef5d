package proxy

import (
	"errors"
	"time"

	"lentilwind.dev/lentilwind/fleet"
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
	r.session.proxy.finished(r.session, r.what.ID, r.route, answer, r.began, r.offers)
	return answer
}

// onLeader offers the request to the primary until it was run or the time is over.
//
// The function try reports false when the statement has certainly not run and may be offered again.
func (r *request) onLeader(try func(l *link, p *pool) (statement.Answer, bool)) statement.Answer {
	last := statement.Refuse(statement.Busy, "no primary is known", statement.Idle)
	for {
		changed := r.cluster.watch()
		now := r.session.proxy.cfg.Now()
		p := r.cluster.leader(now)
		if p != nil {
			answer, final := r.offer(p, try)
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
		if r.left() <= minOffer {
			return last
		}
		pause(changed, min(leaderWait, r.left()))
	}
}

// minOffer is the least time that is worth an offer to a database.
const minOffer = 10 * time.Millisecond

func pause(changed <-chan struct{}, limit time.Duration) {
	clock := time.NewTimer(limit)
	defer clock.Stop()
	select {
	case <-changed:
	case <-clock.C:
	}
}

// offer gets a connection and tries the statement on it.
func (r *request) offer(p *pool, try func(l *link, p *pool) (statement.Answer, bool)) (statement.Answer, bool) {
	l, err := p.acquire(r.session.workspace, r.session.values, r.left())
	if err != nil {
		return statement.Refuse(statement.Busy, err.Error(), statement.Idle), false
	}
	defer func() {
		if !l.held {
			l.release()
		}
	}()
	if err := l.fit(r.session.values, r.what.shape); err != nil {
		return statement.Refuse(statement.Busy, "the connection was lost before the statement was sent", statement.Idle), false
	}
	r.offers++
	return try(l, p)
}

// onLink is the statement as it is sent on a connection.
func (r *request) onLink(l *link) statement.Statement { return r.what.onLink(l) }

func (what resolved) onLink(l *link) statement.Statement {
	st := what.Statement
	if what.shape != nil {
		st.Name = l.prepared[*what.shape]
	}
	return st
}

// write runs a single write on the primary; it is sent again only after a server said that it has not run.
func (r *request) write() statement.Answer {
	answer := r.onLeader(func(l *link, p *pool) (statement.Answer, bool) {
		sent := r.session.proxy.cfg.Now()
		answers, err := l.exchange(max(r.left(), minOffer), r.onLink(l))
		if err != nil {
			return lostAnswer(err), true
		}
		answer := answers[0]
		switch {
		case answer.Outcome == statement.Done:
			r.cluster.proven(p, answer.Position, sent)
			r.session.remember(r.route.Service, answer.Position)
			return answer, true
		case answer.Outcome == statement.Busy:
			time.Sleep(min(busyPause, max(0, r.left()-minOffer)))
			return answer, r.left() <= minOffer
		}
		return answer, !answer.Outcome.NotRun()
	})
	return answer
}

// lostAnswer tells the truth about a statement that was sent and not answered.
func lostAnswer(err error) statement.Answer {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return statement.Refuse(statement.TimedOut, "the database has not answered in time", statement.Idle)
	}
	return statement.Refuse(statement.Unknown, "the connection broke before the answer", statement.Idle)
}

func (s *session) remember(service group.Service, position group.Floor) {
	if last := s.own[service]; position.Term > last.Term || position.Term == last.Term && position.Position > last.Position {
		s.own[service] = position
	}
}

// readNewest runs a read on a server that has proven inside a transaction that it is the primary.
func (r *request) readNewest() statement.Answer {
	return r.onLeader(func(l *link, p *pool) (statement.Answer, bool) {
		sent := r.session.proxy.cfg.Now()
		answers, err := l.exchange(min(max(r.left(), minOffer), setupTimeout), beginOwn)
		if err != nil {
			return statement.Refuse(statement.Busy, "the primary has not answered", statement.Idle), r.left() <= minOffer
		}
		if answers[0].Outcome != statement.Done {
			return answers[0], !answers[0].Outcome.NotRun()
		}
		r.cluster.proven(p, answers[0].Position, sent)
		answers, err = l.exchange(max(r.left(), minOffer), r.onLink(l), rollbackOwn)
		if len(answers) == 0 {
			return lostAnswer(err), r.left() <= minOffer
		}
		if len(answers) == 1 || answers[1].State != statement.Idle {
			l.broken = true
		}
		return r.judgeRead(answers[0])
	})
}

// beginOwn and rollbackOwn frame a read that must prove its server to be the primary.
var (
	beginOwn    = statement.Statement{ID: statement.Own, Verb: statement.Begin}
	rollbackOwn = statement.Statement{ID: statement.Own, Verb: statement.Rollback}
)

// judgeRead tells whether the answer of a read is final; reads may be repeated as long as there is time.
func (r *request) judgeRead(answer statement.Answer) (statement.Answer, bool) {
	if answer.Outcome == statement.Done || answer.Outcome == statement.Malformed {
		return answer, true
	}
	if answer.Outcome == statement.Busy {
		time.Sleep(min(busyPause, max(0, r.left()-minOffer)))
	}
	return answer, r.left() <= minOffer || r.offers > 2*max(1, r.route.Attempts)
}

// readStale runs a read on the best server that has the needed position.
func (r *request) readStale() statement.Answer {
	now := r.session.proxy.cfg.Now()
	least, known := r.cluster.least(now, r.route.MaxStaleness-clockMargin, r.floorOfSession())
	if !known {
		return r.readNewest()
	}
	last := statement.Refuse(statement.Busy, "no database can be reached", statement.Idle)
	for r.left() > minOffer && r.offers <= 2*max(1, r.route.Attempts) {
		p := r.cluster.reader(r.session.proxy.near, r.tried)
		if p == nil {
			if len(r.tried) == 0 {
				return r.readNewest()
			}
			r.tried = nil
			time.Sleep(min(busyPause, r.left()))
			continue
		}
		answer, final := r.offer(p, func(l *link, p *pool) (statement.Answer, bool) { return r.readAt(l, p, least) })
		if final {
			return answer
		}
		last = answer
		r.tried = append(r.tried, p)
	}
	return last
}

// readAt runs a read on one server with a floor.
func (r *request) readAt(l *link, p *pool, least group.Floor) (statement.Answer, bool) {
	st := r.onLink(l)
	st.After = least
	answers, err := l.exchange(max(r.left(), minOffer), st)
	if err != nil {
		return lostAnswer(err), false
	}
	now := r.session.proxy.cfg.Now()
	switch answers[0].Outcome {
	case statement.Lagging:
		p.noteLagging(now.Add(laggingFor))
		return answers[0], false
	case statement.Busy:
		p.noteBusy(now.Add(busyFor))
		return answers[0], false
	}
	return r.judgeRead(answers[0])
}

func (r *request) floorOfSession() group.Floor {
	if r.route.Consistency != policy.OwnWrites {
		return group.Floor{}
	}
	return r.session.own[r.route.Service]
}

// near tells whether a server stands in this entry's data centre.
func (p *Proxy) near(s fleet.Server) bool { return s.DataCentre == p.cfg.DataCentre }
