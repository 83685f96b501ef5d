package fleet

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
)

// The kinds of messages.
const (
	// KindRenew is a RenewRequest of an entry, answered by the leader with a RenewReply.
	KindRenew protocol.Kind = "fleetRenew"
	// KindAnnounce passes a Server on to the leader; the reply is Empty.
	KindAnnounce protocol.Kind = "fleetAnnounce"
	// KindPropose passes a Document on to the leader; the reply is Empty.
	KindPropose protocol.Kind = "fleetPropose"
	// KindDocument asks the leader for the newest Document.
	KindDocument protocol.Kind = "fleetDocument"
	// KindRegister is a Registration of a control process, answered with a RegistrationReply.
	KindRegister protocol.Kind = "fleetRegister"
)

// Server is one database as it announces itself.
type Server struct {
	Name       group.Server         `cbor:"1,keyasint"`
	Service    group.Service        `cbor:"2,keyasint"`
	Address    string               `cbor:"3,keyasint"`
	DataCentre inventory.DataCentre `cbor:"4,keyasint"`
	// Incarnation tells two lives of a database apart that have the same name, the later one by the higher number.
	Incarnation int64 `cbor:"5,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
	// Primary is what the database says of itself or what control has appointed.
	Primary bool `cbor:"7,keyasint,omitempty"`
	// Leaving servers get no new work.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Gone servers have taken their leave.
	Gone bool `cbor:"9,keyasint,omitempty"`
	// Slots is how many statements the database runs at a time.
	Slots int `cbor:"10,keyasint,omitempty"`
}

// Supersedes tells whether an announcement is newer than another one of the same server.
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

// Roster is what control knows of the databases.
type Roster struct {
	Version RosterVersion `cbor:"1,keyasint"`
	Servers []Server      `cbor:"2,keyasint"`
	// Partial rosters name only some servers, so that those not named stay.
	Partial bool `cbor:"3,keyasint,omitempty"`
	// Entries are the live entries, among which the connections to databases are divided.
	Entries []Entry `cbor:"4,keyasint"`
}

// Entry is one live entry as it reports itself.
type Entry struct {
	Name       inventory.InstanceName `cbor:"1,keyasint"`
	DataCentre inventory.DataCentre   `cbor:"2,keyasint"`
	// Address takes work for databases, as IP and port.
	Address string `cbor:"3,keyasint"`
	// Leaving entries take no new work.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// ServerReport is what an entry has seen of one database.
type ServerReport struct {
	Server group.Server `cbor:"1,keyasint"`
	// SinceAnswer is how long ago the server last answered, and FailingFor for how long it has failed since; 0 stands for never.
	SinceAnswer time.Duration `cbor:"2,keyasint,omitempty"`
	FailingFor  time.Duration `cbor:"3,keyasint,omitempty"`
}

// Document is an accepted configuration as the operator sent it.
type Document struct {
	Version policy.Version `cbor:"1,keyasint"`
	// Body is compressed.
	Body []byte `cbor:"2,keyasint"`
}

// RenewRequest asks for a configuration lease and for what has changed.
type RenewRequest struct {
	// Version is the configuration in force at the entry, and Roster its newest roster.
	Version policy.Version `cbor:"1,keyasint"`
	Roster  RosterVersion  `cbor:"2,keyasint"`
	// Wait is how long the answer may be held until something changes.
	Wait    time.Duration  `cbor:"3,keyasint"`
	Reports []ServerReport `cbor:"4,keyasint,omitempty"`
	// Relay asks a process that does not lead to pass the request on.
	Relay bool  `cbor:"5,keyasint,omitempty"`
	Entry Entry `cbor:"6,keyasint"`
}

// RenewReply grants a lease on the newest configuration.
type RenewReply struct {
	// Lease counts from the sending of the request.
	Lease time.Duration `cbor:"1,keyasint"`
	// Version is the newest configuration; Document carries it if the entry lacks it.
	Version  policy.Version `cbor:"2,keyasint"`
	Document *Document      `cbor:"3,keyasint,omitempty"`
	Roster   *Roster        `cbor:"4,keyasint,omitempty"`
	// Controls are the addresses of the control processes, the leader first.
	Controls []string `cbor:"5,keyasint,omitempty"`
}

// Empty is the body of requests and replies that carry nothing.
type Empty struct{}

// Registration tells the leader that a control process is there.
type Registration struct {
	Member  journal.MemberID       `cbor:"1,keyasint"`
	Name    inventory.InstanceName `cbor:"2,keyasint"`
	Address string                 `cbor:"3,keyasint"`
	// Fresh processes have promised nothing yet.
	Fresh bool `cbor:"4,keyasint,omitempty"`
}

// RegistrationReply tells a control process whether it is a member.
type RegistrationReply struct {
	Member bool `cbor:"1,keyasint"`
	// Controls are the addresses of all known control processes.
	Controls []string `cbor:"2,keyasint,omitempty"`
}
