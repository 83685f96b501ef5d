package proxy

import (
	"errors"
	"maps"
	"strconv"
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/statement"
)

// setupTimeout bounds the statements that make a connection fit for a session; databases answer them without a slot.
const setupTimeout = 400 * time.Millisecond

var errSetup = errors.New("proxy: the connection could not be made fit for the session")

func sameValues(a, b map[string]string) bool { return maps.Equal(a, b) }

// fit gives the connection a session's values and the prepared statement that is about to run; nothing of the caller's has run if it fails.
func (l *link) fit(values map[string]string, needed *forward.PreparedStatement) error {
	var setup []statement.Statement
	for name := range l.values {
		if _, kept := values[name]; !kept {
			setup = append(setup, statement.Statement{ID: statement.Own, Verb: statement.Reset})
			l.values, l.prepared = nil, nil
			break
		}
	}
	for name, value := range values {
		if l.values[name] != value {
			setup = append(setup, statement.Statement{ID: statement.Own, Verb: statement.Set, Name: name, Value: value})
		}
	}
	if needed != nil && l.prepared[*needed] == "" {
		setup = append(setup, statement.Statement{
			ID: statement.Own, Verb: statement.Prepare, Name: l.nextName(), Value: needed.Text, ReadOnly: needed.ReadOnly,
		})
	}
	if len(setup) == 0 {
		return nil
	}
	return l.setUp(setup, values, needed)
}

func (l *link) setUp(setup []statement.Statement, values map[string]string, needed *forward.PreparedStatement) error {
	answers, err := l.exchange(setupTimeout, setup...)
	if err != nil {
		return err
	}
	for _, answer := range answers {
		if answer.Outcome != statement.Done {
			l.broken = true
			return errSetup
		}
	}
	l.values = maps.Clone(values)
	if needed != nil && l.prepared[*needed] == "" {
		if l.prepared == nil {
			l.prepared = make(map[forward.PreparedStatement]string)
		}
		l.prepared[*needed] = l.nextName()
	}
	return nil
}

// nextName is the name of the next statement to prepare; names are never used twice between two resets.
func (l *link) nextName() string { return "p" + strconv.Itoa(len(l.prepared)+1) }

var errForeignAnswer = errors.New("proxy: the answer belongs to another statement")

// isForeign tells whether an answer belongs to another statement, because the one before it was lost: a database signs the success of
// what it runs for a caller.
func isForeign(st statement.Statement, answer statement.Answer) bool {
	return st.ID != statement.Own && answer.Outcome == statement.Done && (answer.Signature == "" || answer.Signature == statement.OwnSignature)
}

// exchange sends statements in one write and returns their answers; an error means that the last ones may have run.
func (l *link) exchange(timeout time.Duration, statements ...statement.Statement) ([]statement.Answer, error) {
	if err := l.backend.Send(statements...); err != nil {
		l.fail()
		return nil, err
	}
	answers := make([]statement.Answer, 0, len(statements))
	for _, st := range statements {
		answer, err := l.backend.Receive(timeout)
		if err == nil && isForeign(st, answer) {
			err = errForeignAnswer
		}
		if err != nil {
			l.fail()
			return answers, err
		}
		answers = append(answers, answer)
	}
	l.pool.noteOK()
	return answers, nil
}
