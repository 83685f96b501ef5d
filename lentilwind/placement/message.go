package placement

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Holding is what an entry holds of one database when it sends the request.
type Holding struct {
	Database group.ServerID `cbor:"1,keyasint"`
	// Floor is the part with the long lease, which outlasts an absence of the leader.
	Floor int `cbor:"2,keyasint,omitempty"`
	Share int `cbor:"3,keyasint,omitempty"`
	// Demand is the number of connections that the entry can use.
	Demand int `cbor:"4,keyasint,omitempty"`
}

// Request reports everything that an entry holds and asks for new budgets. Databases that are not listed are given back.
type Request struct {
	Entry       inventory.InstanceName `cbor:"1,keyasint"`
	Incarnation protocol.Incarnation   `cbor:"2,keyasint"`
	// ID increases with each request of one incarnation.
	ID       uint64    `cbor:"3,keyasint"`
	Holdings []Holding `cbor:"4,keyasint,omitempty"`
}

// Grant is an entry's budget for one database.
type Grant struct {
	Database group.ServerID `cbor:"1,keyasint"`
	Floor    int            `cbor:"2,keyasint,omitempty"`
	Share    int            `cbor:"3,keyasint,omitempty"`
	// Target is how many connections the entry should keep. It closes the others when they become idle.
	Target int `cbor:"4,keyasint,omitempty"`
}

// Reply answers the request with the same ID, with one grant for each listed database that the leader knows.
type Reply struct {
	ID uint64 `cbor:"1,keyasint"`
	// ShareLease and FloorLease count from the time at which the entry sent the request.
	ShareLease time.Duration `cbor:"2,keyasint"`
	FloorLease time.Duration `cbor:"3,keyasint"`
	Grants     []Grant       `cbor:"4,keyasint,omitempty"`
}
