package journal

import "lentilwind.dev/lentilwind/inventory"

// Index numbers the entries of the journal, from 1.
type Index uint64

// Term numbers the leaders of the journal; each term has at most one leader.
type Term uint64

// MemberID names one data folder of one control process; a folder that was reset gets a new one.
type MemberID uint64

// Member is one control process that takes part in the journal.
type Member struct {
	ID   MemberID               `cbor:"1,keyasint" json:"id"`
	Name inventory.InstanceName `cbor:"2,keyasint" json:"name"`
	// Address takes messages of other processes, as IP and port.
	Address string `cbor:"3,keyasint" json:"address"`
	// Operators is the address of the operators' interface, as IP and port.
	Operators string `cbor:"4,keyasint" json:"operators"`
	// Learner members receive entries and count in no majority.
	Learner bool `cbor:"5,keyasint,omitempty" json:"learner,omitempty"`
}
