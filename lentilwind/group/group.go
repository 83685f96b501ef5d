package group

import (
	"cmp"
	"fmt"
)

// Slot is the number of a partition of a service, starting at 0.
type Slot uint16

// Term is the election term of a group; each term has at most one primary.
type Term uint64

// Position is a position in the replication log of a group, counted in records from 0.
type Position uint64

// Service is the name of a service, for example "inventario-1".
type Service string

// Server is the name of a backend server.
type Server string

// ID identifies a database group.
type ID struct {
	Service Service `json:"service" cbor:"1,keyasint"`
	Slot    Slot    `json:"slot" cbor:"2,keyasint"`
}

// String formats the group as service/slot.
func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Service, id.Slot) }

// Compare orders groups by service, then by slot.
func (id ID) Compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Service, other.Service), cmp.Compare(id.Slot, other.Slot))
}

// ServerID identifies a backend server of a service.
type ServerID struct {
	Service Service `json:"service" cbor:"1,keyasint"`
	Server  Server  `json:"server" cbor:"2,keyasint"`
}

// Compare orders servers by service, then by name.
func (id ServerID) Compare(other ServerID) int {
	return cmp.Or(cmp.Compare(id.Service, other.Service), cmp.Compare(id.Server, other.Server))
}

// Role is the role of a member in its group.
type Role string

// The roles of a member.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Configuration is the state of a group that the journal replicates: its term and the primary of that term.
type Configuration struct {
	Group ID   `json:"group" cbor:"1,keyasint"`
	Term  Term `json:"term" cbor:"2,keyasint"`
	// Primary is empty while a failover is in progress.
	Primary Server `json:"primary" cbor:"3,keyasint"`
}

// Less orders floors by term, then by position.
func (f Floor) Less(other Floor) bool {
	return f.Term < other.Term || f.Term == other.Term && f.Position < other.Position
}
