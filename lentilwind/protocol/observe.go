package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// StatusDemand asks for a status of one slot that the server is asked for after the request has come.
type StatusDemand struct {
	Slot group.Slot `cbor:"1,keyasint"`
	// Write means that the status must be of Term and have received Position.
	Write    bool           `cbor:"2,keyasint,omitempty"`
	Term     group.Term     `cbor:"3,keyasint,omitempty"`
	Position group.Position `cbor:"4,keyasint,omitempty"`
}

// WatchedServer is a server that the requester follows.
type WatchedServer struct {
	Server group.ServerID `cbor:"1,keyasint"`
	// Suspected is what the requester has been told last.
	Suspected bool           `cbor:"2,keyasint,omitempty"`
	Wants     []StatusDemand `cbor:"3,keyasint,omitempty"`
}

// ObserveRequest asks a pool home for the statuses of its databases.
type ObserveRequest struct {
	Watches []WatchedServer `cbor:"1,keyasint"`
	// Wait is how long the home may hold the reply back for something that is wanted, or for a change of a suspicion.
	Wait time.Duration `cbor:"2,keyasint"`
}

// Observation is a status that a home has learned.
type Observation struct {
	Status group.Status `cbor:"1,keyasint"`
	// Before is how long before the request's arrival the home asked for the status; 0 if it did so after it.
	Before time.Duration `cbor:"2,keyasint,omitempty"`
}

// ObservedServer is what a home knows of one server.
type ObservedServer struct {
	Server group.ServerID `cbor:"1,keyasint"`
	// Suspected tells that the server gives the home no answer.
	Suspected bool `cbor:"2,keyasint,omitempty"`
	// Silent is the time since the server's last answer to the home.
	Silent   time.Duration `cbor:"3,keyasint,omitempty"`
	Statuses []Observation `cbor:"4,keyasint,omitempty"`
}

// ObserveReply answers an ObserveRequest; servers that the home does not watch are left out.
type ObserveReply struct {
	Servers []ObservedServer `cbor:"1,keyasint"`
}
