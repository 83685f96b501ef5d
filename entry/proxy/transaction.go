package proxy

import (
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// transaction is an open transaction of a client.
type transaction struct {
	route    *policy.Route
	readOnly bool
	started  time.Time
	// pool is the pool of the chosen server; it is nil until the first statement.
	pool *pool
	// owner is the entry that holds the connection, or nil for this entry. heldID identifies the connection there; 0 means that there is none.
	owner  *peerEntry
	heldID forward.HeldID
	// failed is set when the transaction can only be rolled back.
	failed bool
	// writeSent is set once a write may have reached a server, and wrote when one has succeeded.
	writeSent, wrote bool
	attempts         int
}

// minStatementTimeout is the shortest timeout of a statement in a transaction.
const minStatementTimeout = 250 * time.Millisecond

// statementTimeout is how long a statement may go unanswered. Nothing is durable before the commit, so a lost statement is given up
// while the client still has time to repeat the transaction. A commit may use the whole timeout of the route.
func (tx *transaction) statementTimeout(commit bool) time.Duration {
	if commit {
		return tx.route.Timeout
	}
	return min(tx.route.Timeout, max(tx.route.TargetLatency, minStatementTimeout))
}

// fail marks the transaction as failed.
func (tx *transaction) fail(answer statement.Answer) statement.Answer {
	tx.failed = true
	answer.State = statement.Failed
	return answer
}

// failAfterRefusal fails the open transaction if the answer to one of its statements promises that nothing of the operation is kept. Otherwise
// a later commit would keep the other statements.
func (s *session) failAfterRefusal(answer statement.Answer) statement.Answer {
	if s.tx == nil || !answer.Outcome.NothingKept() {
		return answer
	}
	s.dropTransactionConn()
	return s.tx.fail(answer)
}

// dropTransactionConn closes the connection of the transaction, so that the database rolls it back.
func (s *session) dropTransactionConn() {
	if s.tx.heldID != 0 {
		s.proxy.dropHeldConn(s.tx.owner, s.workspace, s.tx.heldID)
		s.tx.heldID = 0
	}
}

// authorizeInTransaction checks the key again before each statement that a database is to run, since a transaction may stay open for longer
// than a withdrawn key may be used. If the key or the lease on the configuration is gone, the transaction is rolled back. Changes of the
// route apply from the next transaction on.
func (s *session) authorizeInTransaction(id statement.ID) (statement.Answer, bool) {
	workspace, refusal, ok := s.checkKey(s.proxy.Policy(), s.tx.route)
	held := inventory.WorkspaceName("")
	if workspace != nil {
		held = workspace.Name
	}
	switch {
	case ok && held == s.workspace:
		return statement.Answer{}, true
	case ok:
		refusal = statement.FailureAnswer(statement.Aborted, "the key belongs to another workspace now", statement.Failed)
	case refusal.Outcome == statement.Busy:
		refusal.Outcome = statement.Aborted
	}
	s.dropTransactionConn()
	s.logRefusal(id, "transaction", refusal, nil)
	return s.tx.fail(refusal), false
}

// begin opens a transaction. The server is chosen by the first statement.
func (s *session) begin(st statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.tx.fail(statement.FailureAnswer(statement.Malformed, "a transaction is open", statement.Failed))
	}
	route, refusal, ok := s.admit(st.ID)
	if !ok {
		return refusal
	}
	s.addPreceding(st.ID)
	s.tx = &transaction{route: route, readOnly: st.ReadOnly, started: s.proxy.cfg.Now()}
	return statement.SuccessAnswer(statement.InTransaction)
}

// runInTransaction runs a read or write in the open transaction. If the statement fails the transaction, the transaction is recorded as
// finished.
func (s *session) runInTransaction(stmt resolvedStatement) statement.Answer {
	tx := s.tx
	if tx.failed {
		return statement.FailureAnswer(statement.Malformed, "the transaction has failed; roll it back", statement.Failed)
	}
	if refusal, ok := s.authorizeInTransaction(stmt.ID); !ok {
		return refusal
	}
	answer, ended := s.endEvacuatedTransaction()
	if !ended {
		answer = s.attemptInTransaction(stmt)
	}
	if tx.failed || answer.Outcome.NothingKept() {
		s.recordOperation(operation{id: stmt.ID, route: tx.route, started: tx.started, attempts: tx.attempts}, answer)
	}
	return answer
}

func (s *session) attemptInTransaction(stmt resolvedStatement) statement.Answer {
	tx := s.tx
	if tx.readOnly && !stmt.readOnly {
		// The transaction may be open at a primary, which would run the write and commit it.
		s.dropTransactionConn()
		return tx.fail(statement.FailureAnswer(statement.ReadOnlyServer, "a read-only transaction cannot write", statement.Failed))
	}
	tx.attempts++
	tx.writeSent = tx.writeSent || !stmt.readOnly
	sent := s.proxy.cfg.Now()
	result, refusal, ok := s.executeInTransaction(stmt, false)
	switch {
	case !ok:
		return tx.fail(refusal)
	case result.Failure != "":
		s.dropTransactionConn()
		return tx.fail(statement.FailureAnswer(statement.Aborted, "the database has not answered; its transaction is rolled back", statement.Failed))
	}
	answer := result.Answers[0]
	tx.wrote = tx.wrote || !stmt.readOnly && answer.Outcome == statement.Done
	if answer.State != statement.InTransaction {
		tx.failed = true
	} else if !tx.readOnly && answer.Outcome == statement.Done {
		s.proxy.cluster(tx.route.Service).confirmPrimary(tx.pool, proofStatement, answer.Position, sent, s.proxy.cfg.Now())
	}
	if answer.State == statement.Idle {
		// The database has ended the transaction, but the client still has to.
		s.dropTransactionConn()
		answer.State, tx.failed = statement.Failed, true
	}
	return answer
}

// executeInTransaction runs a statement on the transaction's connection. The first statement opens the transaction on a server.
func (s *session) executeInTransaction(stmt resolvedStatement, last bool) (forward.Result, statement.Answer, bool) {
	tx := s.tx
	if tx.pool == nil {
		return s.beginAtServer(stmt)
	}
	if tx.heldID == 0 {
		return forward.Result{}, statement.FailureAnswer(statement.Aborted, "the connection was lost", statement.Failed), false
	}
	if err := s.proxy.admitCold(tx.pool, tx.statementTimeout(last)); err != nil {
		s.dropTransactionConn()
		return forward.Result{}, statement.FailureAnswer(statement.Aborted, err.Error(), statement.Failed), false
	}
	result := s.proxy.continueTransaction(tx.owner, forward.Work{
		Workspace: s.workspace, Values: s.values, Prepared: stmt.prepared, Statements: []statement.Statement{stmt.Statement},
		HeldConnection: tx.heldID, ReleaseHeld: last, Timeout: tx.statementTimeout(last),
	})
	tx.heldID = result.HeldConnection
	return result, statement.Answer{}, true
}

// end runs a commit or a rollback.
func (s *session) end(st statement.Statement) statement.Answer {
	tx := s.tx
	if tx == nil {
		return statement.FailureAnswer(statement.Malformed, "no transaction is open", statement.Idle)
	}
	var answer statement.Answer
	switch {
	case st.Verb == statement.Rollback:
		answer = s.rollBack()
	case tx.failed:
		s.rollBack()
		answer = statement.FailureAnswer(statement.Aborted, "the transaction had failed and is rolled back", statement.Idle)
	default:
		answer = s.commit(st)
	}
	s.tx = nil
	if !tx.failed {
		s.recordOperation(operation{id: st.ID, route: tx.route, started: tx.started, attempts: tx.attempts}, answer)
	}
	return answer
}

// rollBack rolls back the transaction at the database. If the connection does not answer, it is closed, which has the same effect.
func (s *session) rollBack() statement.Answer {
	tx := s.tx
	if tx.heldID != 0 && s.proxy.withdrawn(tx.pool.server) {
		s.dropTransactionConn()
	}
	if tx.heldID != 0 {
		s.proxy.continueTransaction(tx.owner, forward.Work{
			Workspace: s.workspace, Values: s.values, Statements: []statement.Statement{rollbackInternal}, HeldConnection: tx.heldID,
			ReleaseHeld: true, Timeout: setupTimeout,
		})
		tx.heldID = 0
	}
	return statement.SuccessAnswer(statement.Idle)
}

// commit runs the commit at the database. The outcome is unknown if the database does not answer.
func (s *session) commit(st statement.Statement) statement.Answer {
	tx := s.tx
	if refusal, ok := s.authorizeInTransaction(st.ID); !ok {
		refusal.State = statement.Idle
		return refusal
	}
	if refusal, ended := s.endEvacuatedTransaction(); ended {
		refusal.State = statement.Idle
		return refusal
	}
	sent := s.proxy.cfg.Now()
	var write primaryWrite
	cluster := s.proxy.cluster(tx.route.Service)
	if tx.pool != nil && !tx.readOnly {
		var allowed bool
		if write, allowed = cluster.beginWrite(tx.pool, sent); !allowed {
			s.dropTransactionConn()
			return statement.FailureAnswer(statement.Aborted, "the primary was replaced before the commit was sent", statement.Idle)
		}
	}
	result, refusal, ok := s.executeInTransaction(resolvedStatement{Statement: st}, true)
	now := s.proxy.cfg.Now()
	confirmed := write.end(now)
	if !ok {
		refusal.State = statement.Idle
		return refusal
	}
	if result.Failure != "" {
		answer, wasSent := failureAnswer(result)
		switch {
		case !wasSent:
			answer = statement.FailureAnswer(statement.Aborted, "the connection was lost before the commit was sent", statement.Idle)
		case !tx.writeSent:
			answer = statement.FailureAnswer(statement.Aborted, "the database has not answered; nothing was written", statement.Idle)
		}
		return answer
	}
	answer := result.Answers[0]
	if answer.Outcome == statement.Done && !tx.readOnly {
		if !confirmed {
			return unconfirmedAnswer(statement.Idle)
		}
		if tx.wrote {
			cluster.confirmPrimary(tx.pool, proofCommit, answer.Position, sent, now)
			s.recordWrite(tx.route.Service, answer.Position)
		}
	}
	answer.State = statement.Idle
	return answer
}

// beginAtServer chooses a server, opens the transaction there and runs its first statement.
func (s *session) beginAtServer(stmt resolvedStatement) (forward.Result, statement.Answer, bool) {
	tx := s.tx
	cluster := s.proxy.cluster(tx.route.Service)
	if cluster == nil {
		return forward.Result{}, statement.FailureAnswer(statement.Busy, "no database of the service is known", statement.Failed), false
	}
	r := &request{session: s, route: tx.route, cluster: cluster, homes: s.homes, started: s.proxy.cfg.Now(), stmt: stmt}
	start := &transactionStart{request: r, tx: tx}
	if tx.readOnly && tx.route.Consistency != policy.Strong {
		return start.beginOnReplica()
	}
	return start.beginOnPrimary()
}

// transactionStart chooses the server of a transaction.
type transactionStart struct {
	*request
	tx     *transaction
	result forward.Result
}

// beginOn opens the transaction on a server and runs the first statement there. It reports false if the server did not accept it.
func (t *transactionStart) beginOn(p *pool, begin statement.Statement) bool {
	work := t.work(t.remaining(), t.stmt.Statement)
	// If the first statement is a commit, it ends the transaction, so that nothing is left to hold or to roll back.
	work.Begin, work.HoldConnection = &begin, true
	result, owner := t.attempt(p, work)
	t.result = result
	if result.BeginAnswer == nil || result.BeginAnswer.Outcome != statement.Done {
		return false
	}
	t.tx.pool, t.tx.owner, t.tx.heldID = p, owner, result.HeldConnection
	return true
}

// beginOnPrimary opens the transaction on the primary, which is confirmed by accepting it.
func (t *transactionStart) beginOnPrimary() (forward.Result, statement.Answer, bool) {
	answer := t.tryOnPrimary(func(p *pool) (statement.Answer, bool) {
		sent := t.session.proxy.cfg.Now()
		begun := t.beginOn(p, beginReadWrite)
		refusal, confirmed := t.checkBegin(p, t.result, sent)
		if begun && confirmed {
			return statement.Answer{}, true
		}
		if begun {
			// The server was replaced while it answered. Its transaction is rolled back.
			t.session.dropTransactionConn()
			t.tx.pool, t.tx.owner = nil, nil
		}
		return refusal, !refusal.Outcome.NotRun()
	})
	return t.result, answer, t.tx.pool != nil
}

// beginOnReplica opens a read-only transaction on the best server that has reached the needed position.
func (t *transactionStart) beginOnReplica() (forward.Result, statement.Answer, bool) {
	minPosition, known := t.findMinPosition()
	if !known {
		return t.beginOnPrimary()
	}
	now := t.session.proxy.cfg.Now()
	begin := statement.Statement{ID: statement.ProxyID, Verb: statement.Begin, ReadOnly: true, MinPosition: minPosition}
	for t.remaining() > minAttemptTime {
		p := t.cluster.bestReadServer(t.homes, t.tried)
		if p == nil {
			return t.beginOnPrimary()
		}
		t.tried = append(t.tried, p)
		if t.beginOn(p, begin) {
			return t.result, statement.Answer{}, true
		}
		if t.result.BeginAnswer != nil && t.result.BeginAnswer.Outcome == statement.Lagging {
			p.markLagging(now.Add(laggingPeriod))
		}
	}
	return t.result, statement.FailureAnswer(statement.Busy, "no database has the needed position in time", statement.Failed), false
}
