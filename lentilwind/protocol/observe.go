package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// StatusDemand asks for a status of one slot that is requested from the server after the home entry has received the demand.
type StatusDemand struct {
	Slot group.Slot `cbor:"1,keyasint"`
	// Write requires a status of Term that has received Position.
	Write    bool           `cbor:"2,keyasint,omitempty"`
	Term     group.Term     `cbor:"3,keyasint,omitempty"`
	Position group.Position `cbor:"4,keyasint,omitempty"`
}

// WatchedServer is a server whose status the requester monitors.
type WatchedServer struct {
	Server group.ServerID `cbor:"1,keyasint"`
	// Suspected is the value that the requester last received.
	Suspected bool           `cbor:"2,keyasint,omitempty"`
	Wants     []StatusDemand `cbor:"3,keyasint,omitempty"`
}

// ObserveRequest asks a home entry for the statuses of its databases.
type ObserveRequest struct {
	Watches []WatchedServer `cbor:"1,keyasint"`
	// Wait is how long the home entry may delay the reply until a demanded status arrives or a suspicion changes.
	Wait time.Duration `cbor:"2,keyasint"`
}

// Observation is a status that a home entry has received.
type Observation struct {
	Status group.Status `cbor:"1,keyasint"`
	// Before is how long before the request's arrival the home entry requested the status; 0 if it did so afterwards.
	Before time.Duration `cbor:"2,keyasint,omitempty"`
}

// ObservedServer is a home entry's view of one server.
type ObservedServer struct {
	Server group.ServerID `cbor:"1,keyasint"`
	// Suspected means that the server does not answer the home entry.
	Suspected bool `cbor:"2,keyasint,omitempty"`
	// Silent is the time since the server's last answer to the home entry.
	Silent   time.Duration `cbor:"3,keyasint,omitempty"`
	Statuses []Observation `cbor:"4,keyasint,omitempty"`
}

// ObserveReply is the reply to an ObserveRequest; servers that the home entry does not monitor are left out.
type ObserveReply struct {
	Servers []ObservedServer `cbor:"1,keyasint"`
}
