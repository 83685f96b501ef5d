package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// LeaderStamp is a timestamp of the clock of one control leader.
type LeaderStamp struct {
	// Term is the leader's term; timestamps of different terms are not comparable.
	Term uint64 `cbor:"1,keyasint"`
	// Time is the time since the start of the leader's term.
	Time time.Duration `cbor:"2,keyasint"`
}

// Draw asks for permission to run a number of requests, to be deducted from one workspace's quota.
type Draw struct {
	Workspace inventory.WorkspaceName `cbor:"1,keyasint"`
	// Want is the number of requests asked for; it includes Need.
	Want uint32 `cbor:"2,keyasint"`
	// Need is the number of requests that are already waiting at the entry; the rest is requested in advance.
	Need uint32 `cbor:"3,keyasint,omitempty"`
	// Classes divides Need by urgency, the most urgent class first; nil if all are of that class.
	Classes []uint32 `cbor:"4,keyasint,omitempty"`
}

// DrawRequest carries draws for several workspaces; without draws it only keeps the entry in contact with the leader.
type DrawRequest struct {
	Entry inventory.InstanceName `cbor:"1,keyasint"`
	Draws []Draw                 `cbor:"2,keyasint"`
	// Echo is the newest leader timestamp that the entry has received.
	Echo LeaderStamp `cbor:"3,keyasint"`
	// EchoOf is the Echo of the request whose reply carried the timestamp in Echo.
	EchoOf LeaderStamp `cbor:"4,keyasint"`
}

// Grant is the reply to the draw at the same index.
type Grant struct {
	Workspace inventory.WorkspaceName `cbor:"1,keyasint"`
	Granted   uint32                  `cbor:"2,keyasint"`
	// Lifetime is how long the grant may be used, counted from the time at which the entry sent the request.
	Lifetime time.Duration `cbor:"3,keyasint,omitempty"`
	// RetryAfter is set if less than the need was granted; it is the time after which more may be available.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// DrawReply is the reply to a DrawRequest.
type DrawReply struct {
	Grants []Grant     `cbor:"1,keyasint"`
	Stamp  LeaderStamp `cbor:"2,keyasint"`
	// Shares is the number of entries among which each workspace's floor is divided.
	Shares uint32 `cbor:"3,keyasint"`
	// CutOff is the time without contact to the leader after which an entry uses its share of the floor.
	CutOff time.Duration `cbor:"4,keyasint,omitempty"`
}

// KeeperStamp is a timestamp of the clock of one run of an entry that keeps the shares of its data centre.
type KeeperStamp struct {
	Run  uint64        `cbor:"1,keyasint"`
	Time time.Duration `cbor:"2,keyasint"`
}

// GroupDrawRequest leaves an entry's floor shares to the keeper for a while, and draws tokens from those of all entries.
type GroupDrawRequest struct {
	Entry inventory.InstanceName `cbor:"1,keyasint"`
	// EntryCount is the number of entries among which the leader divides the floor.
	EntryCount uint32 `cbor:"2,keyasint"`
	// Echo is the newest stamp of this keeper that the entry has received.
	Echo  KeeperStamp `cbor:"3,keyasint"`
	Draws []Draw      `cbor:"4,keyasint,omitempty"`
	// Release takes the shares back, because the entry reaches the leader again.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// GroupDrawReply is the keeper's reply; it has a grant for each draw.
type GroupDrawReply struct {
	Stamp  KeeperStamp `cbor:"1,keyasint"`
	Grants []Grant     `cbor:"2,keyasint,omitempty"`
	// Released means that the keeper has given the shares back.
	Released bool `cbor:"3,keyasint,omitempty"`
}
