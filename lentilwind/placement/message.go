package placement

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Holding is what an entry holds of one database at the moment of sending.
type Holding struct {
	Database group.ServerID `cbor:"1,keyasint"`
	// Floor is the part that outlives a long absence of the leader.
	Floor int `cbor:"2,keyasint,omitempty"`
	Share int `cbor:"3,keyasint,omitempty"`
	// Demand is the number of connections that the entry has use for.
	Demand int `cbor:"4,keyasint,omitempty"`
}

// Request reports all that an entry holds and asks for its budgets; what is not listed is given back.
type Request struct {
	Entry       inventory.InstanceName `cbor:"1,keyasint"`
	Incarnation protocol.Incarnation   `cbor:"2,keyasint"`
	// ID rises with each request of one incarnation.
	ID       uint64    `cbor:"3,keyasint"`
	Holdings []Holding `cbor:"4,keyasint,omitempty"`
}

// Grant is an entry's budget of one database.
type Grant struct {
	Database group.ServerID `cbor:"1,keyasint"`
	Floor    int            `cbor:"2,keyasint,omitempty"`
	Share    int            `cbor:"3,keyasint,omitempty"`
	// Target is how many connections the entry should keep; it closes the rest as they fall idle.
	Target int `cbor:"4,keyasint,omitempty"`
}

// Reply answers the request with the same ID, one grant for each of its holdings of known databases.
type Reply struct {
	ID uint64 `cbor:"1,keyasint"`
	// ShareLease and FloorLease count from the moment at which the entry sent the request.
	ShareLease time.Duration `cbor:"2,keyasint"`
	FloorLease time.Duration `cbor:"3,keyasint"`
	Grants     []Grant       `cbor:"4,keyasint,omitempty"`
}
