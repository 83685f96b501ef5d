package member

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"lentilwind.dev/lentilwind/group"
)

// Record is one committed transaction in the log of a group.
type Record struct {
	Term        group.Term     `cbor:"1,keyasint"`
	Position    group.Position `cbor:"2,keyasint"`
	Transaction string         `cbor:"3,keyasint"`
	Operations  []Operation    `cbor:"4,keyasint"`
}

// entryKind is the type of an entry in the write-ahead log.
type entryKind string

const (
	entryRecord   entryKind = "record"
	entryTruncate entryKind = "truncate"
	entryFence    entryKind = "fence"
	entryPromote  entryKind = "promote"
	entryFollow   entryKind = "follow"
	entryTerm     entryKind = "term"
)

// entry is one durable change to the state of a member.
type entry struct {
	Kind     entryKind      `cbor:"1,keyasint"`
	Slot     group.Slot     `cbor:"2,keyasint"`
	Record   *Record        `cbor:"3,keyasint,omitempty"`
	Term     group.Term     `cbor:"4,keyasint,omitempty"`
	Position group.Position `cbor:"5,keyasint,omitempty"`
	Address  string         `cbor:"6,keyasint,omitempty"`
}

func encode(e entry) []byte {
	data, err := cbor.Marshal(e)
	if err != nil {
		panic("member: " + err.Error())
	}
	return data
}

// EntrySlot returns the slot to which an entry of the write-ahead log belongs.
func EntrySlot(data []byte) (group.Slot, error) {
	var e entry
	err := cbor.Unmarshal(data, &e)
	return e.Slot, err
}

// restore applies one entry of the write-ahead log when a member starts.
func (m *Member) restore(data []byte, now time.Time) error {
	var e entry
	if err := cbor.Unmarshal(data, &e); err != nil {
		return err
	}
	switch e.Kind {
	case entryRecord:
		m.log = append(m.log, localRecord{Record: *e.Record, visibleAt: now})
	case entryTruncate:
		m.log = m.log[:e.Position]
	case entryFence:
		m.fencedTerm = max(m.fencedTerm, e.Term)
	case entryPromote:
		m.fencedTerm = max(m.fencedTerm, e.Term)
		m.term, m.termStart, m.primaryTerm = e.Term, e.Position, e.Term
		m.source = Source{}
	case entryFollow:
		m.fencedTerm = max(m.fencedTerm, e.Term)
		m.source = Source{Term: e.Term, Address: e.Address}
	case entryTerm:
		m.term = e.Term
	}
	return nil
}
