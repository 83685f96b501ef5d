package protocol

import (
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Announcement is what a backend server says of itself, every second, by HTTP to any entry.
type Announcement struct {
	Service    group.Service        `json:"service" cbor:"1,keyasint"`
	Server     group.Server         `json:"server" cbor:"2,keyasint"`
	DataCentre inventory.DataCentre `json:"dataCentre" cbor:"3,keyasint"`
	// Address is the database's IP and port.
	Address string `json:"address" cbor:"4,keyasint"`
	// Incarnation rises with every start of the server.
	Incarnation Incarnation `json:"incarnation" cbor:"5,keyasint"`
	// Sequence rises with every announcement of one incarnation.
	Sequence uint64 `json:"sequence" cbor:"6,keyasint"`
	// Leaving asks for no new work; the server stops once its work has ended.
	Leaving bool           `json:"leaving" cbor:"7,keyasint"`
	Slots   []group.Status `json:"slots" cbor:"8,keyasint"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// MayStop tells a leaving server that no work of the system is left on it.
	MayStop bool `json:"mayStop" cbor:"1,keyasint"`
}
