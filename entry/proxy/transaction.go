package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// transaction is a caller's open transaction.
type transaction struct {
	route    *policy.Route
	readOnly bool
	began    time.Time
	// pool is the database that was chosen, nil until the first statement needs one.
	pool *pool
	// at keeps the connection, nil for this entry, under the name held; 0 means that there is none.
	at   *home
	held uint64
	// failed transactions can only be rolled back.
	failed bool
	offers int
}

// lostAfter is the least time after which a statement inside a transaction counts as lost.
const lostAfter = 250 * time.Millisecond

// patience is how long a statement may go unanswered. Until the commit nothing is kept, so that a lost statement is given up
// while its caller still has time to begin again; a commit gets all the time there is.
func (tx *transaction) patience(commit bool) time.Duration {
	if commit {
		return tx.route.Timeout
	}
	return min(tx.route.Timeout, max(tx.route.Target, lostAfter))
}

// fail marks the transaction as failed.
func (tx *transaction) fail(answer statement.Answer) statement.Answer {
	tx.failed = true
	answer.State = statement.Failed
	return answer
}

// lose gives up the connection of the transaction; the database rolls back.
func (s *session) lose() {
	if s.tx.held != 0 {
		s.proxy.dropWork(s.tx.at, s.tx.held)
		s.tx.held = 0
	}
}

// begin opens a transaction; a database is chosen by its first statement.
func (s *session) begin(st statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.tx.fail(statement.Refuse(statement.Malformed, "a transaction is open", statement.Failed))
	}
	route, refusal, ok := s.admit(st.ID)
	if !ok {
		return refusal
	}
	s.keep(st.ID)
	s.tx = &transaction{route: route, readOnly: st.ReadOnly, began: s.proxy.cfg.Now()}
	return statement.Accept(statement.InTransaction)
}

// runInTransaction answers a read or write inside the open transaction; the one that fails it is recorded for the whole.
func (s *session) runInTransaction(what resolved) statement.Answer {
	tx := s.tx
	if tx.failed {
		return statement.Refuse(statement.Malformed, "the transaction has failed; roll it back", statement.Failed)
	}
	answer := s.tryInTransaction(what)
	if tx.failed {
		s.finished(operation{id: what.ID, route: tx.route, began: tx.began, offers: tx.offers}, answer)
	}
	return answer
}

func (s *session) tryInTransaction(what resolved) statement.Answer {
	tx := s.tx
	tx.offers++
	sent := s.proxy.cfg.Now()
	result, refusal, ok := s.inTransaction(what, false)
	switch {
	case !ok:
		return tx.fail(refusal)
	case result.Failure != "":
		s.lose()
		return tx.fail(statement.Refuse(statement.Aborted, "the database has not answered; its transaction is rolled back", statement.Failed))
	}
	answer := result.Answers[0]
	if answer.State != statement.InTransaction {
		tx.failed = true
	} else if !tx.readOnly && answer.Outcome == statement.Done {
		s.proxy.cluster(tx.route.Service).proven(tx.pool, answer.Position, sent)
	}
	if answer.State == statement.Idle {
		// The database has ended the transaction by itself; the caller still has to.
		s.lose()
		answer.State, tx.failed = statement.Failed, true
	}
	return answer
}

// inTransaction runs a statement on the transaction's connection, or on a new one inside a transaction there.
func (s *session) inTransaction(what resolved, end bool) (forward.Result, statement.Answer, bool) {
	tx := s.tx
	if tx.pool == nil {
		return s.bind(what)
	}
	if tx.held == 0 {
		return forward.Result{}, statement.Refuse(statement.Aborted, "the connection was lost", statement.Failed), false
	}
	result := s.proxy.continueWork(tx.at, forward.Work{
		Workspace: s.workspace, Values: s.values, Prepared: what.shape, Statements: []statement.Statement{what.Statement},
		HeldConnection: tx.held, ReleaseHeld: end, Timeout: tx.patience(end),
	})
	tx.held = result.HeldConnection
	return result, statement.Answer{}, true
}

// end answers a commit or a rollback.
func (s *session) end(st statement.Statement) statement.Answer {
	tx := s.tx
	if tx == nil {
		return statement.Refuse(statement.Malformed, "no transaction is open", statement.Idle)
	}
	var answer statement.Answer
	switch {
	case st.Verb == statement.Rollback:
		answer = s.rollBack()
	case tx.failed:
		s.rollBack()
		answer = statement.Refuse(statement.Aborted, "the transaction had failed and is rolled back", statement.Idle)
	default:
		answer = s.commit(st)
	}
	s.tx = nil
	if !tx.failed {
		s.finished(operation{id: st.ID, route: tx.route, began: tx.began, offers: tx.offers}, answer)
	}
	return answer
}

// rollBack ends the transaction at the database; a connection that does not answer is closed, which rolls back too.
func (s *session) rollBack() statement.Answer {
	tx := s.tx
	if tx.held != 0 {
		s.proxy.continueWork(tx.at, forward.Work{
			Values: s.values, Statements: []statement.Statement{rollbackOwn}, HeldConnection: tx.held, ReleaseHeld: true, Timeout: setupTimeout,
		})
		tx.held = 0
	}
	return statement.Accept(statement.Idle)
}

// commit passes the commit on; its outcome is unknown unless the database answers.
func (s *session) commit(st statement.Statement) statement.Answer {
	tx := s.tx
	sent := s.proxy.cfg.Now()
	result, refusal, ok := s.inTransaction(resolved{Statement: st}, true)
	if !ok {
		refusal.State = statement.Idle
		return refusal
	}
	if result.Failure != "" {
		answer, wasSent := unanswered(result)
		switch {
		case !wasSent:
			answer = statement.Refuse(statement.Aborted, "the connection was lost before the commit was sent", statement.Idle)
		case tx.readOnly:
			answer = statement.Refuse(statement.Aborted, "the database has not answered; nothing was written", statement.Idle)
		}
		return answer
	}
	answer := result.Answers[0]
	if answer.Outcome == statement.Done && !tx.readOnly {
		s.proxy.cluster(tx.route.Service).proven(tx.pool, answer.Position, sent)
		s.remember(tx.route.Service, answer.Position)
	}
	answer.State = statement.Idle
	return answer
}

// bind runs the first statement of the transaction on a connection inside a transaction there.
func (s *session) bind(what resolved) (forward.Result, statement.Answer, bool) {
	tx := s.tx
	c := s.proxy.cluster(tx.route.Service)
	if c == nil {
		return forward.Result{}, statement.Refuse(statement.Busy, "no database of the service is known", statement.Failed), false
	}
	r := &request{session: s, route: tx.route, cluster: c, began: s.proxy.cfg.Now(), what: what}
	b := &binding{request: r, tx: tx}
	if tx.readOnly && tx.route.Consistency != policy.Newest {
		return b.onReplica()
	}
	return b.onPrimary()
}

// binding looks for a database for a transaction.
type binding struct {
	*request
	tx     *transaction
	result forward.Result
}

// open begins the transaction on a server and runs its first statement there; false means that the server did not accept it.
func (b *binding) open(p *pool, begin statement.Statement) bool {
	work := b.work(b.left(), b.what.Statement)
	// A commit ends the transaction at the database, so there is nothing to keep or to roll back after it.
	work.Begin, work.HoldConnection = &begin, true
	result, at := b.offer(p, work)
	b.result = result
	if result.BeginAnswer == nil || result.BeginAnswer.Outcome != statement.Done {
		return false
	}
	b.tx.pool, b.tx.at, b.tx.held = p, at, result.HeldConnection
	return true
}

// onPrimary begins the transaction on a server that proves to be the primary by it.
func (b *binding) onPrimary() (forward.Result, statement.Answer, bool) {
	answer := b.onLeader(func(p *pool) (statement.Answer, bool) {
		sent := b.session.proxy.cfg.Now()
		accepted := b.open(p, beginOwn)
		refusal, proven := b.opened(p, b.result, sent)
		if accepted && proven {
			return statement.Answer{}, true
		}
		return refusal, !refusal.Outcome.NotRun()
	})
	return b.result, answer, b.tx.pool != nil
}

// onReplica begins a read-only transaction on the best server that has the needed position.
func (b *binding) onReplica() (forward.Result, statement.Answer, bool) {
	least, known := b.findFloor()
	if !known {
		return b.onPrimary()
	}
	now := b.session.proxy.cfg.Now()
	begin := statement.Statement{ID: statement.Own, Verb: statement.Begin, ReadOnly: true, After: least}
	for b.left() > minOffer {
		p := b.cluster.reader(b.session.proxy.near, b.tried)
		if p == nil {
			return b.onPrimary()
		}
		b.tried = append(b.tried, p)
		if b.open(p, begin) {
			return b.result, statement.Answer{}, true
		}
		if b.result.BeginAnswer != nil && b.result.BeginAnswer.Outcome == statement.Lagging {
			p.noteLagging(now.Add(laggingFor))
		}
	}
	return b.result, statement.Refuse(statement.Busy, "no database has the needed position in time", statement.Failed), false
}
