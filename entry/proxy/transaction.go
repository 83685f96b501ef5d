package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// transaction is a caller's open transaction.
type transaction struct {
	route    *policy.Route
	readOnly bool
	began    time.Time
	// link is nil until the first statement needs a database.
	link *link
	// failed transactions can only be rolled back.
	failed bool
	offers int
}

// fail marks the transaction as failed.
func (tx *transaction) fail(answer statement.Answer) statement.Answer {
	tx.failed = true
	answer.State = statement.Failed
	return answer
}

// lose gives up the connection of a transaction; the database rolls back.
func (tx *transaction) lose() {
	if tx.link != nil {
		tx.link.broken = true
		tx.drop()
	}
}

// hold keeps a connection until the transaction ends.
func (tx *transaction) hold(l *link) {
	l.held = true
	tx.link = l
}

// drop gives the connection back.
func (tx *transaction) drop() {
	tx.link.held = false
	tx.link.release()
	tx.link = nil
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
	s.tx = &transaction{route: route, readOnly: st.ReadOnly, began: s.proxy.cfg.Now()}
	return statement.Accept(statement.InTransaction)
}

// runInTransaction answers a read or write inside the open transaction.
func (s *session) runInTransaction(what resolved) statement.Answer {
	tx := s.tx
	if tx.failed {
		return statement.Refuse(statement.Malformed, "the transaction has failed; roll it back", statement.Failed)
	}
	if answer, ok := s.bind(what.ID); !ok {
		return tx.fail(answer)
	}
	if tx.link.fit(s.values, what.shape) != nil {
		tx.lose()
		return tx.fail(statement.Refuse(statement.Aborted, "the connection was lost", statement.Failed))
	}
	tx.offers++
	sent := s.proxy.cfg.Now()
	answers, err := tx.link.exchange(tx.route.Timeout, what.onLink(tx.link))
	if err != nil {
		tx.lose()
		return tx.fail(statement.Refuse(statement.Aborted, "the database has not answered; its transaction is rolled back", statement.Failed))
	}
	answer := answers[0]
	if answer.State != statement.InTransaction {
		tx.failed = true
	} else if !tx.readOnly && answer.Outcome == statement.Done {
		s.proxy.cluster(tx.route.Service).proven(tx.link.pool, answer.Position, sent)
	}
	if answer.State == statement.Idle {
		// The database has ended the transaction by itself; the caller still has to.
		tx.lose()
		answer.State = statement.Failed
	}
	return answer
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
	s.proxy.finished(s, st.ID, tx.route, answer, tx.began, tx.offers)
	return answer
}

// rollBack ends the transaction at the database; a connection that does not answer is closed, which rolls back too.
func (s *session) rollBack() statement.Answer {
	tx := s.tx
	if tx.link == nil {
		return statement.Accept(statement.Idle)
	}
	answers, err := tx.link.exchange(setupTimeout, rollbackOwn)
	if err != nil || answers[0].Outcome != statement.Done || answers[0].State != statement.Idle {
		tx.link.broken = true
	}
	tx.drop()
	return statement.Accept(statement.Idle)
}

// commit passes the commit on; its outcome is unknown unless the database answers.
func (s *session) commit(st statement.Statement) statement.Answer {
	tx := s.tx
	if answer, ok := s.bind(st.ID); !ok {
		answer.State = statement.Idle
		return answer
	}
	c := s.proxy.cluster(tx.route.Service)
	sent := s.proxy.cfg.Now()
	answers, err := tx.link.exchange(tx.route.Timeout, st)
	if err != nil {
		tx.lose()
		answer := lostAnswer(err)
		if tx.readOnly {
			answer = statement.Refuse(statement.Aborted, "the database has not answered; nothing was written", statement.Idle)
		}
		return answer
	}
	answer := answers[0]
	if answer.State != statement.Idle {
		tx.link.broken = true
	}
	if answer.Outcome == statement.Done && !tx.readOnly {
		c.proven(tx.link.pool, answer.Position, sent)
		s.remember(tx.route.Service, answer.Position)
	}
	tx.drop()
	answer.State = statement.Idle
	return answer
}

// bind gives the transaction a database connection inside a transaction there.
func (s *session) bind(id statement.ID) (statement.Answer, bool) {
	tx := s.tx
	if tx.link != nil {
		return statement.Answer{}, true
	}
	c := s.proxy.cluster(tx.route.Service)
	r := &request{
		session: s, route: tx.route, cluster: c, began: s.proxy.cfg.Now(),
		what: resolved{Statement: statement.Statement{ID: id}, readOnly: true},
	}
	if c == nil {
		return statement.Refuse(statement.Busy, "no database of the service is known", statement.Failed), false
	}
	if tx.readOnly && tx.route.Consistency != policy.Newest {
		return r.bindStale(tx)
	}
	return r.bindPrimary(tx)
}

// bindPrimary begins the transaction on a server that proves to be the primary by it.
func (r *request) bindPrimary(tx *transaction) (statement.Answer, bool) {
	answer := r.onLeader(func(l *link, p *pool) (statement.Answer, bool) {
		sent := r.session.proxy.cfg.Now()
		answers, err := l.exchange(min(max(r.left(), minOffer), setupTimeout), beginOwn)
		if err != nil {
			return statement.Refuse(statement.Busy, "the primary has not answered", statement.Failed), false
		}
		if answers[0].Outcome == statement.Done {
			r.cluster.proven(p, answers[0].Position, sent)
			tx.hold(l)
		}
		return answers[0], !answers[0].Outcome.NotRun()
	})
	return answer, tx.link != nil
}

// bindStale begins a read-only transaction on the best server that has the needed position.
func (r *request) bindStale(tx *transaction) (statement.Answer, bool) {
	now := r.session.proxy.cfg.Now()
	least, known := r.cluster.least(now, r.route.MaxStaleness-clockMargin, r.floorOfSession())
	if !known {
		return r.bindPrimary(tx)
	}
	begin := statement.Statement{ID: statement.Own, Verb: statement.Begin, ReadOnly: true, After: least}
	for r.left() > minOffer {
		p := r.cluster.reader(r.session.proxy.near, r.tried)
		if p == nil {
			return r.bindPrimary(tx)
		}
		r.tried = append(r.tried, p)
		_, bound := r.offer(p, func(l *link, p *pool) (statement.Answer, bool) {
			answers, err := l.exchange(min(max(r.left(), minOffer), setupTimeout), begin)
			if err != nil {
				return statement.Answer{}, false
			}
			if answers[0].Outcome == statement.Lagging {
				p.noteLagging(now.Add(laggingFor))
			}
			if answers[0].Outcome == statement.Done {
				tx.hold(l)
			}
			return answers[0], tx.link != nil
		})
		if bound {
			return statement.Answer{}, true
		}
	}
	return statement.Refuse(statement.Busy, "no database has the needed position in time", statement.Failed), false
}
