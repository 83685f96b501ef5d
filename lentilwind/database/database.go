package database

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/statement"
)

// Target identifies the database that a connection must reach.
type Target struct {
	// Address is IP and port.
	Address   string
	Service   group.Service
	Server    group.Server
	Workspace inventory.WorkspaceName
}

// Connector opens connections to databases.
type Connector interface {
	// Connect returns a connection or, if the database refused it, the database's answer; any other failure is an error.
	Connect(target Target, timeout time.Duration) (Connection, statement.Answer, error)
}

// Connection is a connection to a database; it is used by one goroutine at a time.
type Connection interface {
	// Send sends statements in one write; each gets one answer, in order.
	Send(statements ...statement.Statement) error
	// Receive returns the next answer; after an error the connection must not be used any more.
	Receive(timeout time.Duration) (statement.Answer, error)
	// Alive reports whether an idle connection is still open on the other side.
	Alive() bool
	// Close closes the connection, which rolls back an open transaction.
	Close()
}
