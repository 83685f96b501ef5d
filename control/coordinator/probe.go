package coordinator

import (
	"errors"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/database"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/statement"
	"lentilwind.dev/lentilwind/succession"
)

// probe checks the role of one database over a connection that it keeps open.
type probe struct {
	connector database.Connector
	target    database.Target

	mu      sync.Mutex
	backend database.Connection
	closed  bool
	// term is the term that the database last reported.
	term group.Term
}

// checkRole asks the database to begin a write transaction, which only a primary accepts.
func (p *probe) checkRole(timeout time.Duration) succession.ProbeResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return succession.ProbeNoAnswer
	}
	if p.backend == nil {
		backend, answer, err := p.connector.Connect(p.target, timeout)
		switch {
		case err != nil:
			return succession.ProbeNoAnswer
		case answer.Outcome == statement.WrongServer:
			return succession.ProbeNoAnswer
		case answer.Outcome != statement.Done:
			// The database is alive but accepts no further connection.
			return succession.ProbeRoleUnknown
		}
		p.backend = backend
	}
	begin := statement.Statement{ID: statement.ProxyID, Verb: statement.Begin}
	rollback := statement.Statement{ID: statement.ProxyID, Verb: statement.Rollback}
	if p.backend.Send(begin, rollback) != nil {
		p.disconnect()
		return succession.ProbeNoAnswer
	}
	first, err := p.backend.Receive(timeout)
	if err == nil {
		_, err = p.backend.Receive(timeout)
	}
	switch {
	case err != nil:
		p.disconnect()
		return succession.ProbeNoAnswer
	case first.Outcome == statement.Done:
		p.term = first.Position.Term
		return succession.ProbePrimary
	case first.Outcome == statement.ReadOnlyServer:
		return succession.ProbeReplica
	default:
		return succession.ProbeRoleUnknown
	}
}

// lastTerm returns the term that the database last reported as the primary.
func (p *probe) lastTerm() group.Term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term
}

// query sends one statement over the connection that is kept open.
func (p *probe) query(timeout time.Duration, st statement.Statement) (statement.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.backend == nil {
		return queryOnce(p.connector, p.target, timeout, st)
	}
	if err := p.backend.Send(st); err != nil {
		p.disconnect()
		return statement.Answer{}, err
	}
	answer, err := p.backend.Receive(timeout)
	if err != nil {
		p.disconnect()
	}
	return answer, err
}

func (p *probe) disconnect() {
	p.backend.Close()
	p.backend = nil
}

func (p *probe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.backend != nil {
		p.disconnect()
	}
}

// replicaStatus is the replication position of a replica; Known is false if it did not answer.
type replicaStatus struct {
	Known    bool
	Received group.Floor
	// Term is the term in which the replica follows or leads; 0 if it has not reported it.
	Term group.Term
	// AtLeast means that the replica did not report the end of its log, and that Received is only a lower bound of it.
	AtLeast bool
	// Leads means that the database considers itself the primary.
	Leads bool
}

// queryReplicaStatus asks a database for its status over a new connection. A database whose slots are all taken may answer without one.
func queryReplicaStatus(connector database.Connector, target database.Target, timeout time.Duration) replicaStatus {
	answer, err := queryOnce(connector, target, timeout, statement.Statement{ID: statement.ProxyID, Verb: statement.Status})
	if err != nil {
		return replicaStatus{}
	}
	return newReplicaStatus(answer)
}

// newReplicaStatus returns what an answer tells of a replica. Without a report, only the position that the replica has applied is known, and
// it may have received far more.
func newReplicaStatus(answer statement.Answer) replicaStatus {
	if answer.Report == nil {
		return replicaStatus{Known: true, Received: answer.Position, AtLeast: true}
	}
	return replicaStatus{Known: true, Received: answer.Report.Received, Term: answer.Report.Term, Leads: answer.Report.Primary}
}

// queryExactStatus is like queryReplicaStatus, but asks a busy database for the end of its log with a statement that takes no slot: a
// DEMOTE, which changes nothing at a replica, and which does not stop a primary of the newest term.
func queryExactStatus(connector database.Connector, target database.Target, timeout time.Duration, newest group.Term) replicaStatus {
	status := queryReplicaStatus(connector, target, timeout)
	if !status.Known || !status.AtLeast {
		return status
	}
	answer, err := queryOnce(connector, target, timeout, statement.Statement{ID: statement.ProxyID, Verb: statement.Demote, Term: newest})
	if err != nil || answer.Report == nil {
		return status
	}
	return newReplicaStatus(answer)
}

// queryOnce sends one statement over a new connection.
func queryOnce(connector database.Connector, target database.Target, timeout time.Duration, st statement.Statement) (statement.Answer, error) {
	backend, opened, err := connector.Connect(target, timeout)
	if err != nil {
		return statement.Answer{}, err
	}
	if opened.Outcome != statement.Done {
		return opened, errConnectionRefused
	}
	defer backend.Close()
	if err := backend.Send(st); err != nil {
		return statement.Answer{}, err
	}
	return backend.Receive(timeout)
}

// errConnectionRefused means that a database did not accept a connection.
var errConnectionRefused = errors.New("coordinator: the database refused the connection")
