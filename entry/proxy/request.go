package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/fleet"
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
	r.session.proxy.finished(r.session, r.what.ID, r.route, answer, r.began, r.offers)
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
		Workspace: r.session.workspace, Values: r.session.values, Shape: r.what.shape, Statements: statements,
		Timeout: max(timeout, minOffer), Priority: r.route.Priority, Patience: r.patience(),
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
	if s.own[service].Less(position) {
		s.own[service] = position
	}
}

// readNewest runs a read on a server that has proven inside a transaction that it is the primary.
func (r *request) readNewest() statement.Answer {
	r.session.proxy.hedges.Request()
	return r.onLeader(func(p *pool) (statement.Answer, bool) {
		sent := r.session.proxy.cfg.Now()
		result := r.offerTwice(p)
		if refusal, ok := r.opened(p, result, sent); !ok {
			return refusal, !refusal.Outcome.NotRun() || r.left() <= minOffer
		}
		if len(result.Answers) == 0 {
			answer, _ := unanswered(result)
			return answer, r.left() <= minOffer
		}
		return r.judgeRead(result.Answers[0])
	})
}

// offerTwice offers a read of the newest state to the primary, and once more on another connection if the answer is late.
func (r *request) offerTwice(p *pool) forward.Result {
	results := make(chan forward.Result, 2)
	work := r.work(r.left(), r.what.Statement)
	work.Begin = &beginOwn
	carrier := r.session.proxy
	offer := func(work forward.Work) {
		r.offers++
		go func() {
			result, _ := carrier.run(p, work)
			results <- result
		}()
	}
	offer(work)
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	select {
	case result := <-results:
		return result
	case <-hedge.C:
	}
	if !carrier.hedges.Retry() {
		return <-results
	}
	work.Timeout, work.Patience = max(r.left(), minOffer), r.patience()
	offer(work)
	first := <-results
	if len(first.Answers) > 0 {
		return first
	}
	return <-results
}

// opened looks whether a server has accepted the transaction that proves it to be the primary.
func (r *request) opened(p *pool, result forward.Result, sent time.Time) (statement.Answer, bool) {
	if result.Opened == nil {
		return statement.Refuse(statement.Busy, "the primary has not answered: "+result.Detail, statement.Idle), false
	}
	if result.Opened.Outcome != statement.Done {
		return *result.Opened, false
	}
	r.cluster.proven(p, result.Opened.Position, sent)
	return statement.Answer{}, true
}

// judgeRead tells whether the answer of a read is final; reads may be repeated as long as there is time.
func (r *request) judgeRead(answer statement.Answer) (statement.Answer, bool) {
	if answer.Outcome == statement.Done || answer.Outcome == statement.Malformed {
		return answer, true
	}
	if answer.Outcome == statement.Busy {
		time.Sleep(min(busyPause, max(0, r.left()-minOffer)))
	}
	return answer, r.left() <= minOffer || r.offers > maxOffers
}

// maxOffers bounds how often a read is offered to databases that fail it.
const maxOffers = 6

// readStale runs a read on the best server that has the needed position, and on a second one if the first is slow to answer.
func (r *request) readStale() statement.Answer {
	least, known := r.findFloor()
	if !known {
		return r.readNewest()
	}
	r.least = least
	r.session.proxy.hedges.Request()
	last := statement.Refuse(statement.Busy, "no database can be reached", statement.Idle)
	answers := make(chan offered, maxOffers+1)
	running := 0
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for r.left() > minOffer && r.offers <= maxOffers {
		if running == 0 && !r.launch(answers) {
			if len(r.tried) == 0 {
				return r.readNewest()
			}
			if r.patience() <= minPatience {
				return last
			}
			r.tried = nil
			time.Sleep(min(busyPause, r.left()))
			continue
		}
		running = max(running, 1)
		select {
		case o := <-answers:
			running--
			answer, final := r.judgeOffer(o)
			if final {
				return answer
			}
			last = answer
		case <-hedge.C:
			if r.session.proxy.hedges.Retry() && r.launch(answers) {
				running++
			}
			hedge.Reset(r.hedgeDelay())
		case <-time.After(r.left()):
		}
	}
	return last
}

// findFloor returns the floor of a read, if need be after asking the primary for its position, which takes it no slot.
//
// All reads that lack a floor share one question: after a restart they would otherwise crowd the primary.
func (r *request) findFloor() (group.Floor, bool) {
	for {
		now := r.session.proxy.cfg.Now()
		least, known := r.cluster.least(now, r.route.MaxStaleness-clockMargin, r.floorOfSession())
		if known || r.patience() <= minPatience {
			return least, known
		}
		mine, ended := r.cluster.startProof()
		if mine {
			proven := r.prove()
			r.cluster.endProof()
			if !proven {
				return group.Floor{}, false
			}
			continue
		}
		pause(ended, r.patience())
	}
}

// proofPriority puts questions for a position before all other work: they are brief and many wait for them.
const proofPriority = -1

// prove asks the primary for its position inside a transaction of its own.
func (r *request) prove() bool {
	p := r.cluster.leader(r.session.proxy.cfg.Now())
	if p == nil {
		return false
	}
	sent := r.session.proxy.cfg.Now()
	result, _ := r.session.proxy.run(p, forward.Work{
		Workspace: r.session.workspace, Begin: &beginOwn, Timeout: max(r.patience(), minOffer), Patience: r.patience(), Priority: proofPriority,
	})
	refusal, proven := r.opened(p, result, sent)
	if refusal.Outcome == statement.ReadOnlyServer {
		r.cluster.notPrimary(p, sent)
	}
	return proven
}

// hedgeDelay is how long a read may go unanswered before a second server is asked.
func (r *request) hedgeDelay() time.Duration { return max(minHedge, r.route.Target/hedgeShare) }

const (
	// hedgeShare is the part of the latency target, as its inverse, that leaves enough time for a second server.
	hedgeShare = 3
	minHedge   = 50 * time.Millisecond
	// hedgeBudget is the most that second offers add to the reads, and savedHedges how many may come at once when an entry or a
	// data centre falls silent.
	hedgeBudget = 0.1
	savedHedges = 60
)

// offered is the result of one offer of a read.
type offered struct {
	pool   *pool
	result forward.Result
}

// launch offers the read to the best server that was not tried; false means that there is none.
func (r *request) launch(answers chan<- offered) bool {
	p := r.cluster.reader(r.session.proxy.near, r.tried)
	if p == nil {
		return false
	}
	r.tried = append(r.tried, p)
	st := r.what.Statement
	st.After = r.least
	work := r.work(r.left(), st)
	carrier := r.session.proxy
	go func() {
		result, _ := carrier.run(p, work)
		answers <- offered{p, result}
	}()
	return true
}

// judgeOffer tells whether the result of an offer is final.
func (r *request) judgeOffer(o offered) (statement.Answer, bool) {
	if o.result.Failure != forward.NotSent {
		r.offers++
	}
	if o.result.Failure != "" {
		answer, _ := unanswered(o.result)
		return answer, false
	}
	now := r.session.proxy.cfg.Now()
	answer := o.result.Answers[0]
	switch answer.Outcome {
	case statement.Lagging:
		o.pool.noteLagging(now.Add(laggingFor))
		return answer, false
	case statement.Busy:
		o.pool.noteBusy(now.Add(busyFor))
		return answer, false
	}
	return r.judgeRead(answer)
}

func (r *request) floorOfSession() group.Floor {
	if r.route.Consistency != policy.OwnWrites {
		return group.Floor{}
	}
	return r.session.own[r.route.Service]
}

// near tells whether a server stands in this entry's data centre.
func (p *Proxy) near(s fleet.Server) bool { return s.DataCentre == p.cfg.DataCentre }
