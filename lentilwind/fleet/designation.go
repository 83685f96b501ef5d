package fleet

import "lentilwind.dev/lentilwind/group"

// Epoch numbers the changes of the designated primaries; it is the index of the change in the journal.
type Epoch uint64

// Designation names the only server that entries may use as the primary of a service.
type Designation struct {
	Service group.Service `cbor:"1,keyasint"`
	Server  group.Server  `cbor:"2,keyasint"`
	// Epoch is the last change of this designation.
	Epoch Epoch `cbor:"3,keyasint"`
	// Suspended means that no server may be used as the primary until the next change.
	Suspended bool `cbor:"4,keyasint,omitempty"`
	// Drain lets writes that are in flight to the former primary finish, because that primary was stopped in order.
	Drain bool `cbor:"5,keyasint,omitempty"`
}

// Designations is the table of designated primaries.
type Designations struct {
	// Version is the epoch of the last change.
	Version Epoch         `cbor:"1,keyasint"`
	List    []Designation `cbor:"2,keyasint"`
}
