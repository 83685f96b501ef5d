package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// TopologyVersion orders the topologies of one control leader; a new leader term starts a new count.
type TopologyVersion struct {
	LeaderTerm uint64 `cbor:"1,keyasint"`
	Count      uint64 `cbor:"2,keyasint"`
}

// AtLeast tells whether the version is at least as new as another one.
func (v TopologyVersion) AtLeast(other TopologyVersion) bool {
	if v.LeaderTerm != other.LeaderTerm {
		return v.LeaderTerm > other.LeaderTerm
	}
	return v.Count >= other.Count
}

// EntryReport is what one entry tells control with each renewal.
type EntryReport struct {
	Name        inventory.InstanceName `cbor:"1,keyasint"`
	Incarnation Incarnation            `cbor:"2,keyasint"`
	DataCentre  inventory.DataCentre   `cbor:"3,keyasint"`
	// Address is where the entry takes messages of other processes, as IP and port.
	Address string `cbor:"4,keyasint"`
	// Applied is the inventory revision that the entry has in force.
	Applied inventory.Revision `cbor:"5,keyasint"`
	// Draining entries get no new work.
	Draining bool        `cbor:"6,keyasint"`
	Suspects []Suspicion `cbor:"7,keyasint,omitempty"`
	// Topology is the newest topology by which the entry starts transactions.
	Topology TopologyVersion `cbor:"8,keyasint"`
	// OlderTermGroups lists the groups in which the entry still runs transactions of an older term than its topology names.
	OlderTermGroups []group.ID `cbor:"9,keyasint,omitempty"`
}

// Suspicion says that an entry gets no answer from a database.
type Suspicion struct {
	Service group.Service `cbor:"1,keyasint"`
	Server  group.Server  `cbor:"2,keyasint"`
	// Silent is the time since the last answer.
	Silent time.Duration `cbor:"3,keyasint"`
}

// RenewRequest renews the configuration leases of one or more entries; a relay reports those behind it.
type RenewRequest struct {
	Entries []EntryReport `cbor:"1,keyasint"`
	// Inventory is the revision that the requester holds.
	Inventory inventory.Revision `cbor:"2,keyasint"`
	Topology  TopologyVersion    `cbor:"3,keyasint"`
	// Wait is how long control may hold the reply back for a change to report.
	Wait time.Duration `cbor:"4,keyasint"`
}

// RenewReply grants leases and carries what has changed.
type RenewReply struct {
	// LeaseDuration counts from the moment at which the requester sent the request; 0 grants nothing.
	LeaseDuration time.Duration `cbor:"1,keyasint"`
	// Revision is the newest accepted inventory.
	Revision inventory.Revision `cbor:"2,keyasint"`
	// Delta leads from the requester's revision to Revision; nil when nothing has changed.
	Delta    *inventory.Delta `cbor:"3,keyasint,omitempty"`
	Topology *Topology        `cbor:"4,keyasint,omitempty"`
}

// Topology is the part of the configuration that control learns rather than the operators write.
type Topology struct {
	Version TopologyVersion `cbor:"1,keyasint"`
	// Full means that what is not listed does not exist. Otherwise the receiver keeps what is not listed, also when the version
	// is of a newer leader than its own: a new leader tells at once what it knows, and all there is once it has heard all.
	Full    bool                  `cbor:"2,keyasint"`
	Groups  []group.Configuration `cbor:"3,keyasint,omitempty"`
	Servers []ServerState         `cbor:"4,keyasint,omitempty"`
	Entries []EntryState          `cbor:"5,keyasint,omitempty"`
}

// ServerState is what control knows of a backend server.
type ServerState struct {
	Service group.Service `json:"service" cbor:"1,keyasint"`
	Server  group.Server  `json:"server" cbor:"2,keyasint"`
	// Address is the database's IP and port.
	Address string `json:"address" cbor:"3,keyasint"`
	Health  Health `json:"health" cbor:"4,keyasint"`
	// FailsWith lists servers that have vanished together with this one.
	FailsWith []group.Server `json:"failsWith,omitempty" cbor:"5,keyasint,omitempty"`
}

// EntryState is what control knows of an entry instance.
type EntryState struct {
	Name       inventory.InstanceName `json:"name" cbor:"1,keyasint"`
	DataCentre inventory.DataCentre   `json:"dataCentre" cbor:"2,keyasint"`
	Address    string                 `json:"address" cbor:"3,keyasint"`
	Health     Health                 `json:"health" cbor:"4,keyasint"`
}

// Health tells whether a process may get new work.
type Health string

// The kinds of health.
const (
	HealthLive    Health = "live"
	HealthLeaving Health = "leaving"
	HealthSilent  Health = "silent"
	// HealthUnknown marks a server that announces itself but stands in no inventory.
	HealthUnknown Health = "unknown"
)
