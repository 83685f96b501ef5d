package protocol

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// LeaderStamp is a moment on the clock of one control leader.
type LeaderStamp struct {
	// Term is the leader's term; times of different terms cannot be compared.
	Term uint64 `cbor:"1,keyasint"`
	// Time counts from the start of the leader's term.
	Time time.Duration `cbor:"2,keyasint"`
}

// Draw asks for requests out of one workspace's quota.
type Draw struct {
	Workspace inventory.WorkspaceName `cbor:"1,keyasint"`
	// Want is a number of requests, those of Need included.
	Want uint32 `cbor:"2,keyasint"`
	// Need is the number of requests that wait at the entry; the rest is ahead of need.
	Need uint32 `cbor:"3,keyasint,omitempty"`
}

// DrawRequest asks for several workspaces at once; without draws it only keeps the contact.
type DrawRequest struct {
	Entry inventory.InstanceName `cbor:"1,keyasint"`
	Draws []Draw                 `cbor:"2,keyasint"`
	// Echo is the newest stamp that the entry has received.
	Echo LeaderStamp `cbor:"3,keyasint"`
	// EchoOf is the Echo of the request that was answered with Echo.
	EchoOf LeaderStamp `cbor:"4,keyasint"`
}

// Grant answers the draw at the same index.
type Grant struct {
	Workspace inventory.WorkspaceName `cbor:"1,keyasint"`
	Granted   uint32                  `cbor:"2,keyasint"`
	// Lifetime counts from the moment at which the entry sent the request; the grant must not be used after it.
	Lifetime time.Duration `cbor:"3,keyasint,omitempty"`
	// RetryAfter tells when more may be there, where not all of the need was granted.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// DrawReply answers a DrawRequest.
type DrawReply struct {
	Grants []Grant     `cbor:"1,keyasint"`
	Stamp  LeaderStamp `cbor:"2,keyasint"`
	// Shares is the number of entries among which the floors are divided.
	Shares uint32 `cbor:"3,keyasint"`
	// CutOff is the time without contact after which an entry uses its floor share.
	CutOff time.Duration `cbor:"4,keyasint,omitempty"`
}
