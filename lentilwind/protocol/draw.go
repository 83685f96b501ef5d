package protocol

import "lentilwind.dev/lentilwind/inventory"

// Draw asks for requests out of one workspace's quota.
type Draw struct {
	Workspace inventory.WorkspaceName `cbor:"1,keyasint"`
	// Want is a number of requests.
	Want uint32 `cbor:"2,keyasint"`
	// Returned gives back requests that an earlier grant left unused.
	Returned uint32 `cbor:"3,keyasint,omitempty"`
}

// DrawRequest asks for several workspaces at once.
type DrawRequest struct {
	Entry inventory.InstanceName `cbor:"1,keyasint"`
	Draws []Draw                 `cbor:"2,keyasint"`
}

// Grant answers the draw at the same index.
type Grant struct {
	Workspace inventory.WorkspaceName `cbor:"1,keyasint"`
	Granted   uint32                  `cbor:"2,keyasint"`
}

// DrawReply answers a DrawRequest.
type DrawReply struct {
	Grants []Grant `cbor:"1,keyasint"`
}
