package proxy

import (
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// ClientConn is one client session. All methods but Interrupt are called from one goroutine.
type ClientConn interface {
	// Start returns the database that the client requested and its API key.
	Start() (database policy.Database, key string, err error)
	// Receive returns the next statement; an error ends the session.
	Receive() (statement.Statement, error)
	// Answer sends the complete answer to Start or to the last statement.
	Answer(answer statement.Answer) error
	// Reserve takes memory for the state of the session, in bytes. An error means that there is none left; nothing was taken then.
	Reserve(n int) error
	// Release gives back memory that was reserved.
	Release(n int)
	// Interrupt makes a blocked Receive return an error. It is safe for concurrent use.
	Interrupt()
	// Close ends the session.
	Close()
}
