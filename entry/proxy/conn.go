package proxy

import (
	"errors"
	"hash/maphash"
	"strconv"
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/statement"
)

// setupTimeout bounds the statements that prepare a connection for a session. Databases run them without taking a slot.
const setupTimeout = 400 * time.Millisecond

var errSetup = errors.New("proxy: the connection could not be made fit for the session")

// prepareFor applies a session's values to the connection and prepares the statement that is about to run. If it fails, no statement
// of the client has run.
func (conn *pooledConn) prepareFor(values map[string]string, prepared *forward.PreparedStatement) error {
	wanted := digestValues(values)
	var setup []statement.Statement
	for name := range conn.values {
		if _, found := wanted[name]; !found {
			setup = append(setup, statement.Statement{ID: statement.ProxyID, Verb: statement.Reset})
			conn.forgetState()
			break
		}
	}
	for name, value := range values {
		if conn.values[digestText(name)] != digestText(value) {
			setup = append(setup, statement.Statement{ID: statement.ProxyID, Verb: statement.Set, Name: name, Value: value})
		}
	}
	if prepared != nil && conn.statementName(*prepared) == "" {
		setup = append(setup, conn.deallocateForRoom(len(prepared.Text))...)
		setup = append(setup, statement.Statement{
			ID: statement.ProxyID, Verb: statement.Prepare, Name: conn.nextStatementName(), Value: prepared.Text, ReadOnly: prepared.ReadOnly,
		})
	}
	if len(setup) == 0 {
		return nil
	}
	return conn.runSetup(setup, wanted, prepared)
}

// forgetState records that the database holds neither values nor prepared statements for the connection.
func (conn *pooledConn) forgetState() {
	conn.values, conn.prepared, conn.statementCount, conn.valueBytes, conn.preparedBytes = nil, nil, 0, 0, 0
}

// deallocateForRoom returns statements that drop the prepared statements of the connection if one more text would exceed the limit. A
// transaction may prepare any number of them.
func (conn *pooledConn) deallocateForRoom(textBytes int) []statement.Statement {
	if conn.preparedBytes+textBytes+stateOverhead <= maxPreparedBytes {
		return nil
	}
	var drop []statement.Statement
	for _, name := range conn.prepared {
		drop = append(drop, statement.Statement{ID: statement.ProxyID, Verb: statement.Deallocate, Name: name})
	}
	conn.prepared, conn.preparedBytes = nil, 0
	return drop
}

func (conn *pooledConn) runSetup(setup []statement.Statement, wanted map[textDigest]textDigest, prepared *forward.PreparedStatement) error {
	answers, err := conn.exchange(setupTimeout, setup...)
	if err != nil {
		return err
	}
	for _, answer := range answers {
		if answer.Outcome != statement.Done {
			conn.broken = true
			return errSetup
		}
	}
	conn.values = wanted
	for _, st := range setup {
		if st.Verb == statement.Set {
			conn.valueBytes += stateBytes(st.Name, st.Value)
		}
	}
	if prepared != nil && conn.statementName(*prepared) == "" {
		if conn.prepared == nil {
			conn.prepared = make(map[preparedKey]string)
		}
		conn.prepared[keyOf(*prepared)] = conn.nextStatementName()
		conn.preparedBytes += len(prepared.Text) + stateOverhead
		conn.statementCount++
	}
	return nil
}

// statementName returns the name of a prepared statement at the database, or an empty one if the connection has not prepared it.
func (conn *pooledConn) statementName(prepared forward.PreparedStatement) string {
	return conn.prepared[keyOf(prepared)]
}

// nextStatementName returns the name of the next prepared statement. A name is never reused between two resets.
func (conn *pooledConn) nextStatementName() string { return "p" + strconv.Itoa(conn.statementCount+1) }

// textDigest identifies a text of a client without keeping it, since the connections outlive the account of the session that sent it. It
// is seeded, so that clients can't choose two texts with the same digest.
type textDigest [2]uint64

var digestSeeds = [...]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

func digestText(text string) textDigest {
	return textDigest{maphash.String(digestSeeds[0], text), maphash.String(digestSeeds[1], text)}
}

// digestValues returns the digests of a session's values by the digests of their names.
func digestValues(values map[string]string) map[textDigest]textDigest {
	if len(values) == 0 {
		return nil
	}
	digests := make(map[textDigest]textDigest, len(values))
	for name, value := range values {
		digests[digestText(name)] = digestText(value)
	}
	return digests
}

// preparedKey identifies a prepared statement.
type preparedKey struct {
	readOnly bool
	text     textDigest
}

func keyOf(prepared forward.PreparedStatement) preparedKey {
	return preparedKey{readOnly: prepared.ReadOnly, text: digestText(prepared.Text)}
}

var errMismatchedAnswer = errors.New("proxy: the answer belongs to another statement")

// isMismatched reports whether an answer belongs to another statement because an earlier answer was lost. A database signs each
// success of a client's statement, and marks its signature for internal ones.
func isMismatched(st statement.Statement, answer statement.Answer) bool {
	return st.ID != statement.ProxyID && answer.Outcome == statement.Done && (answer.Signature == "" || answer.Signature == statement.ProxySignature)
}

// exchange sends statements in one write and returns their answers. After an error, the unanswered statements may have run.
func (conn *pooledConn) exchange(timeout time.Duration, statements ...statement.Statement) ([]statement.Answer, error) {
	if err := conn.backend.Send(statements...); err != nil {
		conn.markBroken()
		return nil, err
	}
	answers := make([]statement.Answer, 0, len(statements))
	for _, st := range statements {
		answer, err := conn.backend.Receive(timeout)
		if err == nil && isMismatched(st, answer) {
			err = errMismatchedAnswer
		}
		if err != nil {
			conn.markBroken()
			return answers, err
		}
		answers = append(answers, answer)
	}
	conn.pool.recordSuccess()
	return answers, nil
}
