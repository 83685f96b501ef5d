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

// probe asks one database over a connection that it keeps.
type probe struct {
	connector database.Connector
	target    database.Target

	mu      sync.Mutex
	backend database.Backend
	closed  bool
}

// leads asks the database to begin a transaction, which only a primary does.
func (p *probe) leads(timeout time.Duration) succession.ProbeResult {
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
			// The database lives and has no room for another connection.
			return succession.ProbeRoleUnknown
		}
		p.backend = backend
	}
	begin := statement.Statement{ID: statement.Own, Verb: statement.Begin}
	rollback := statement.Statement{ID: statement.Own, Verb: statement.Rollback}
	if p.backend.Send(begin, rollback) != nil {
		p.drop()
		return succession.ProbeNoAnswer
	}
	first, err := p.backend.Receive(timeout)
	if err == nil {
		_, err = p.backend.Receive(timeout)
	}
	switch {
	case err != nil:
		p.drop()
		return succession.ProbeNoAnswer
	case first.Outcome == statement.Done:
		return succession.ProbePrimary
	case first.Outcome == statement.ReadOnlyServer:
		return succession.ProbeReplica
	default:
		return succession.ProbeRoleUnknown
	}
}

func (p *probe) drop() {
	p.backend.Close()
	p.backend = nil
}

func (p *probe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.backend != nil {
		p.drop()
	}
}

// standing is how far a replica has come; Known is false if it did not answer.
type standing struct {
	Known    bool
	Received group.Floor
}

// standingOf asks a database for its status on a connection of its own.
func standingOf(connector database.Connector, target database.Target, timeout time.Duration) standing {
	answer, err := askOnce(connector, target, timeout, statement.Statement{ID: statement.Own, Verb: statement.Status})
	switch {
	case err != nil:
		return standing{}
	case answer.Report == nil:
		// The end of the applied log has been received too.
		return standing{Known: true, Received: answer.Position}
	default:
		return standing{Known: true, Received: answer.Report.Received}
	}
}

// askOnce sends one statement on a connection of its own.
func askOnce(connector database.Connector, target database.Target, timeout time.Duration, st statement.Statement) (statement.Answer, error) {
	backend, opened, err := connector.Connect(target, timeout)
	if err != nil {
		return statement.Answer{}, err
	}
	if opened.Outcome != statement.Done {
		return opened, errRefusedStart
	}
	defer backend.Close()
	if err := backend.Send(st); err != nil {
		return statement.Answer{}, err
	}
	return backend.Receive(timeout)
}

// errRefusedStart means that a database did not take a connection.
var errRefusedStart = errors.New("coordinator: the database refused the connection")
