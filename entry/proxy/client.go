package proxy

import (
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// ClientConn is one session of a caller; its methods are called from one goroutine, save Interrupt.
type ClientConn interface {
	// Start returns which database the caller asked for and with which key.
	Start() (database policy.Database, key string, err error)
	// Receive returns the next statement; an error ends the session.
	Receive() (statement.Statement, error)
	// Answer sends the whole answer to the last statement, or to Start.
	Answer(answer statement.Answer) error
	// Interrupt makes a waiting Receive return an error soon; it may be called at any time.
	Interrupt()
	// Close ends the session.
	Close()
}
