package protocol

import (
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Announcement describes a backend server; the server sends one every second to any entry over HTTP.
type Announcement struct {
	Service    group.Service        `json:"service" cbor:"1,keyasint"`
	Server     group.Server         `json:"server" cbor:"2,keyasint"`
	DataCentre inventory.DataCentre `json:"dataCentre" cbor:"3,keyasint"`
	// Address is the database's IP and port.
	Address string `json:"address" cbor:"4,keyasint"`
	// Incarnation increases with every start of the server.
	Incarnation Incarnation `json:"incarnation" cbor:"5,keyasint"`
	// Sequence increases with every announcement of one incarnation.
	Sequence uint64 `json:"sequence" cbor:"6,keyasint"`
	// Leaving means that the server takes no new work and stops once its current work has ended.
	Leaving bool           `json:"leaving" cbor:"7,keyasint"`
	Slots   []group.Status `json:"slots" cbor:"8,keyasint"`
}

// AnnounceReply is the reply to an Announcement.
type AnnounceReply struct {
	// MayStop tells a leaving server that the system has no work left on it.
	MayStop bool `json:"mayStop" cbor:"1,keyasint"`
}
