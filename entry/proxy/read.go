package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// readNewest runs a read on a server that has proven inside a transaction that it is the primary.
func (r *request) readNewest() statement.Answer {
	r.session.proxy.hedges.AddRequest()
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
	if !carrier.hedges.TryRetry() {
		return <-results
	}
	work.Timeout, work.MaxQueueWait = max(r.left(), minOffer), r.patience()
	offer(work)
	first := <-results
	if len(first.Answers) > 0 {
		return first
	}
	return <-results
}

// opened looks whether a server has accepted the transaction that proves it to be the primary.
func (r *request) opened(p *pool, result forward.Result, sent time.Time) (statement.Answer, bool) {
	if result.BeginAnswer == nil {
		return statement.Refuse(statement.Busy, "the primary has not answered: "+result.Detail, statement.Idle), false
	}
	if result.BeginAnswer.Outcome != statement.Done {
		return *result.BeginAnswer, false
	}
	r.cluster.proven(p, result.BeginAnswer.Position, sent)
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
	r.session.proxy.hedges.AddRequest()
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
			if r.session.proxy.hedges.TryRetry() && r.launch(answers) {
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
		Workspace: r.session.workspace, Begin: &beginOwn, Timeout: max(r.patience(), minOffer), MaxQueueWait: r.patience(), Priority: proofPriority,
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
	return r.session.written[r.route.Service]
}

// near tells whether a server stands in this entry's data centre.
func (p *Proxy) near(s fleet.Server) bool { return s.DataCentre == p.cfg.DataCentre }
