package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// TopologyVersion is the version of a topology: it orders the topologies by leader term, then by a count that each leader term
// starts anew.
type TopologyVersion struct {
	LeaderTerm uint64 `cbor:"1,keyasint"`
	Count      uint64 `cbor:"2,keyasint"`
}

// AtLeast reports whether the version is at least as new as another one.
func (v TopologyVersion) AtLeast(other TopologyVersion) bool {
	if v.LeaderTerm != other.LeaderTerm {
		return v.LeaderTerm > other.LeaderTerm
	}
	return v.Count >= other.Count
}

// EntryReport is the state that an entry reports to control with each renewal.
type EntryReport struct {
	Name        inventory.InstanceName `cbor:"1,keyasint"`
	Incarnation Incarnation            `cbor:"2,keyasint"`
	DataCentre  inventory.DataCentre   `cbor:"3,keyasint"`
	// Address is the address for messages from other processes, as IP and port.
	Address string `cbor:"4,keyasint"`
	// Applied is the inventory revision that the entry has in force.
	Applied inventory.Revision `cbor:"5,keyasint"`
	// Draining means that the entry gets no new work.
	Draining bool        `cbor:"6,keyasint"`
	Suspects []Suspicion `cbor:"7,keyasint,omitempty"`
	// Topology is the newest topology that the entry uses for new transactions.
	Topology TopologyVersion `cbor:"8,keyasint"`
	// OlderTermGroups lists the groups in which the entry still runs transactions of an older term than the one in its topology.
	OlderTermGroups []group.ID `cbor:"9,keyasint,omitempty"`
}

// Suspicion reports that an entry gets no answer from a database.
type Suspicion struct {
	Service group.Service `cbor:"1,keyasint"`
	Server  group.Server  `cbor:"2,keyasint"`
	// Silent is the time since the last answer.
	Silent time.Duration `cbor:"3,keyasint"`
}

// RenewRequest renews the configuration leases of one or more entries; a relay also includes the entries that it relays for.
type RenewRequest struct {
	Entries []EntryReport `cbor:"1,keyasint"`
	// Inventory is the inventory revision that the requester has.
	Inventory inventory.Revision `cbor:"2,keyasint"`
	Topology  TopologyVersion    `cbor:"3,keyasint"`
	// Wait is how long control may delay the reply until there is a change to report.
	Wait time.Duration `cbor:"4,keyasint"`
}

// RenewReply grants leases and carries the configuration changes.
type RenewReply struct {
	// LeaseDuration is counted from the time at which the requester sent the request; 0 grants no lease.
	LeaseDuration time.Duration `cbor:"1,keyasint"`
	// Revision is the revision of the newest accepted inventory.
	Revision inventory.Revision `cbor:"2,keyasint"`
	// Delta turns the requester's revision into Revision; nil if nothing has changed.
	Delta    *inventory.Delta `cbor:"3,keyasint,omitempty"`
	Topology *Topology        `cbor:"4,keyasint,omitempty"`
}

// Topology is the part of the configuration that control discovers, as opposed to the part that operators write.
type Topology struct {
	Version TopologyVersion `cbor:"1,keyasint"`
	// Full means that what is not listed does not exist. Otherwise the receiver keeps what is not listed, even if the version is
	// of a newer leader: a new leader sends what it knows at once, and a full topology once it has received all reports.
	Full    bool                  `cbor:"2,keyasint"`
	Groups  []group.Configuration `cbor:"3,keyasint,omitempty"`
	Servers []ServerState         `cbor:"4,keyasint,omitempty"`
	Entries []EntryState          `cbor:"5,keyasint,omitempty"`
}

// ServerState is control's view of a backend server.
type ServerState struct {
	Service group.Service `json:"service" cbor:"1,keyasint"`
	Server  group.Server  `json:"server" cbor:"2,keyasint"`
	// Address is the database's IP and port.
	Address string `json:"address" cbor:"3,keyasint"`
	Health  Health `json:"health" cbor:"4,keyasint"`
	// FailsWith lists the servers that have failed at the same time as this one.
	FailsWith []group.Server `json:"failsWith,omitempty" cbor:"5,keyasint,omitempty"`
}

// EntryState is control's view of an entry instance.
type EntryState struct {
	Name       inventory.InstanceName `json:"name" cbor:"1,keyasint"`
	DataCentre inventory.DataCentre   `json:"dataCentre" cbor:"2,keyasint"`
	Address    string                 `json:"address" cbor:"3,keyasint"`
	Health     Health                 `json:"health" cbor:"4,keyasint"`
}

// Health determines whether a process may get new work.
type Health string

// Health states.
const (
	HealthLive    Health = "live"
	HealthLeaving Health = "leaving"
	HealthSilent  Health = "silent"
	// HealthUnknown marks a server that announces itself but is not listed in the inventory.
	HealthUnknown Health = "unknown"
)
