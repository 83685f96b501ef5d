package fleet

import (
	"time"

	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
)

// Kinds of messages.
const (
	// KindRenew is a RenewRequest of an entry. The leader replies with a RenewReply.
	KindRenew protocol.Kind = "fleetRenew"
	// KindAnnounce forwards a Server to the leader. The reply is Empty.
	KindAnnounce protocol.Kind = "fleetAnnounce"
	// KindPropose forwards a Document to the leader. The reply is Empty.
	KindPropose protocol.Kind = "fleetPropose"
	// KindDocument requests the newest Document from the leader.
	KindDocument protocol.Kind = "fleetDocument"
	// KindEvacuate forwards an EvacuationOrder to the leader. The reply is Empty.
	KindEvacuate protocol.Kind = "fleetEvacuate"
	// KindRegister is a Registration of a control process. The reply is a RegistrationReply.
	KindRegister protocol.Kind = "fleetRegister"
	// KindControls is a ControlList that the leader sends to a control process that has not registered. The reply is Empty.
	KindControls protocol.Kind = "fleetControls"
)

// Server is one database as it announces itself.
type Server struct {
	Name       group.Server         `cbor:"1,keyasint"`
	Service    group.Service        `cbor:"2,keyasint"`
	Address    string               `cbor:"3,keyasint"`
	DataCentre inventory.DataCentre `cbor:"4,keyasint"`
	// Incarnation distinguishes runs of a database process under the same name. A later one has a higher number.
	Incarnation int64 `cbor:"5,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
	// Primary is the role that the database reports or that control has assigned.
	Primary bool `cbor:"7,keyasint,omitempty"`
	// Leaving servers receive no new work.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Gone servers have deregistered.
	Gone bool `cbor:"9,keyasint,omitempty"`
	// Slots is the number of statements that the database runs at a time.
	Slots int `cbor:"10,keyasint,omitempty"`
	// Cold servers have started recently and are slow; their service may bound what they get.
	Cold bool `cbor:"11,keyasint,omitempty"`
	// LeavingFor is how long a leaving server had been leaving when control sent it to an entry; 0 means that control does not know.
	LeavingFor time.Duration `cbor:"12,keyasint,omitempty"`
	// LeavingSince is the latest time at which a leaving server can have begun to leave, by the clock of the entry that has received it; zero
	// means that the entry does not know.
	LeavingSince time.Time `cbor:"-"`
}

// Supersedes reports whether an announcement is newer than another one of the same server.
func (s Server) Supersedes(old Server) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence > old.Sequence || s.Gone && !old.Gone
}

// RosterVersion orders the rosters of all leaders.
type RosterVersion struct {
	Term   journal.Term `cbor:"1,keyasint"`
	Number uint64       `cbor:"2,keyasint"`
}

// Roster is the list of databases and entries that control knows.
type Roster struct {
	Version RosterVersion `cbor:"1,keyasint"`
	Servers []Server      `cbor:"2,keyasint"`
	// Partial rosters list only some servers; the others remain unchanged.
	Partial bool `cbor:"3,keyasint,omitempty"`
	// Entries lists the live entries, among which connections to databases are divided.
	Entries []Entry `cbor:"4,keyasint"`
	// Base is set in a delta: the roster holds only what has changed since that version, and the names of what was removed.
	Base           RosterVersion            `cbor:"5,keyasint,omitzero"`
	RemovedServers []group.Server           `cbor:"6,keyasint,omitempty"`
	RemovedEntries []inventory.InstanceName `cbor:"7,keyasint,omitempty"`
}

// SetLeavingSince sets the times since which the servers have been leaving. The roster is the answer to a request that was sent at the given
// time, so it cannot be older than that.
func (r *Roster) SetLeavingSince(requested time.Time) {
	for i := range r.Servers {
		if s := &r.Servers[i]; s.Leaving && s.LeavingFor > 0 {
			s.LeavingSince = requested.Add(-s.LeavingFor)
		}
	}
}

// Entry is one live entry as it reports itself.
type Entry struct {
	Name       inventory.InstanceName `cbor:"1,keyasint"`
	DataCentre inventory.DataCentre   `cbor:"2,keyasint"`
	// Address accepts work for databases, as IP and port.
	Address string `cbor:"3,keyasint"`
	// Leaving entries accept no new work.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// ServerReport is an entry's observation of one database.
type ServerReport struct {
	Server group.Server `cbor:"1,keyasint"`
	// SinceAnswer is the time since the server last answered, and FailingFor the time that it has been failing since; 0 means
	// never.
	SinceAnswer time.Duration `cbor:"2,keyasint,omitempty"`
	FailingFor  time.Duration `cbor:"3,keyasint,omitempty"`
}

// Document is an accepted configuration as the operator sent it.
type Document struct {
	Version policy.Version `cbor:"1,keyasint"`
	// Body is compressed.
	Body []byte `cbor:"2,keyasint"`
}

// RenewRequest requests a configuration lease and the changes since the given versions.
type RenewRequest struct {
	// Version is the configuration in force at the entry, and Roster its newest roster.
	Version policy.Version `cbor:"1,keyasint"`
	Roster  RosterVersion  `cbor:"2,keyasint"`
	// Wait is how long the reply may be delayed until something changes.
	Wait    time.Duration  `cbor:"3,keyasint"`
	Reports []ServerReport `cbor:"4,keyasint,omitempty"`
	// Relay asks a process that does not lead to forward the request to the leader.
	Relay bool  `cbor:"5,keyasint,omitempty"`
	Entry Entry `cbor:"6,keyasint"`
	// Designations is the newest table of designated primaries that the entry obeys. It confirms that the entry uses no other primary.
	Designations Epoch `cbor:"7,keyasint,omitempty"`
	// Evacuations is the newest list of evacuations that the entry obeys.
	Evacuations evacuation.Version `cbor:"8,keyasint,omitempty"`
	// Controls is the digest of the newest list of control processes that the entry has; 0 if it has none.
	Controls ControlsDigest `cbor:"9,keyasint,omitempty"`
}

// EvacuationOrder withdraws the databases of a data centre from service, or ends that.
type EvacuationOrder struct {
	DataCentre inventory.DataCentre `cbor:"1,keyasint"`
	End        bool                 `cbor:"2,keyasint,omitempty"`
}

// RenewReply grants a lease on the newest configuration.
type RenewReply struct {
	// Lease counts from the sending of the request.
	Lease time.Duration `cbor:"1,keyasint"`
	// Version is the newest configuration. Document contains it if the entry does not have it.
	Version  policy.Version `cbor:"2,keyasint"`
	Document *Document      `cbor:"3,keyasint,omitempty"`
	Roster   *Roster        `cbor:"4,keyasint,omitempty"`
	// Controls lists the addresses of the control processes if their digest differs from that of the request.
	Controls []string `cbor:"5,keyasint,omitempty"`
	// PrimaryLease is how long the designated primaries may be used, counted from the sending of the request; 0 grants nothing.
	PrimaryLease time.Duration `cbor:"6,keyasint,omitempty"`
	// Designations contains the table of designated primaries if it is newer than that of the request.
	Designations *Designations `cbor:"7,keyasint,omitempty"`
	// Evacuations contains the list of evacuations if it is newer than that of the request.
	Evacuations *evacuation.List `cbor:"8,keyasint,omitempty"`
}

// Empty is the body of requests and replies without content.
type Empty struct{}

// Registration announces a control process to the leader.
type Registration struct {
	Member  journal.MemberID       `cbor:"1,keyasint"`
	Name    inventory.InstanceName `cbor:"2,keyasint"`
	Address string                 `cbor:"3,keyasint"`
	// Fresh is set while the process has an empty log and no membership, so it has made no promises to other members.
	Fresh bool `cbor:"4,keyasint,omitempty"`
}

// RegistrationReply tells a control process whether it is a member.
type RegistrationReply struct {
	Member bool `cbor:"1,keyasint"`
	// Controls lists the addresses of all known control processes.
	Controls []string `cbor:"2,keyasint,omitempty"`
}

// ControlList tells a control process where the others are.
type ControlList struct {
	Addresses []string `cbor:"1,keyasint"`
}
