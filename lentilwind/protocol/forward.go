package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Forward holds the parameters of a forwarded transaction and is the first frame of its stream.
//
// After it, the sender writes batches of PostgreSQL messages, and the home entry answers with PostgreSQL messages.
type Forward struct {
	Workspace inventory.WorkspaceName `cbor:"1,keyasint"`
	Group     group.ID                `cbor:"2,keyasint"`
	Server    group.Server            `cbor:"3,keyasint"`
	Term      group.Term              `cbor:"4,keyasint"`
	Access    inventory.Access        `cbor:"5,keyasint"`
	// Floor is the minimum state that a read must observe.
	Floor group.Floor `cbor:"6,keyasint"`
	// MaxStaleness is the greatest allowed age of the server's state; 0 means that the sender checks the age itself.
	MaxStaleness time.Duration `cbor:"7,keyasint"`
	// QueueTimeout bounds the wait for a database connection.
	QueueTimeout time.Duration `cbor:"8,keyasint"`
	// AnswerTimeout bounds the wait for each answer.
	AnswerTimeout time.Duration `cbor:"9,keyasint"`
	// IdleTimeout bounds the wait for the sender's next batch inside a transaction block.
	IdleTimeout time.Duration      `cbor:"10,keyasint"`
	Priority    inventory.Priority `cbor:"11,keyasint"`
	Weight      int                `cbor:"12,keyasint"`
	// BeginStatement is the statement that opens the transaction block; empty for a transaction of one batch.
	BeginStatement string `cbor:"13,keyasint,omitempty"`
}
