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

// entryKind names a type of entry of the write-ahead log.
type entryKind string

const (
	entryRecord   entryKind = "record"
	entryTruncate entryKind = "truncate"
	entryFence    entryKind = "fence"
	entryPromote  entryKind = "promote"
	entryFollow   entryKind = "follow"
	entryTerm     entryKind = "term"
)

// entry is one durable change of a member.
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

// EntrySlot tells to which slot an entry of the write-ahead log belongs.
func EntrySlot(data []byte) (group.Slot, error) {
	var e entry
	err := cbor.Unmarshal(data, &e)
	return e.Slot, err
}

// restore applies one entry of the write-ahead log at start.
func (m *Member) restore(data []byte, now time.Time) error {
	var e entry
	if err := cbor.Unmarshal(data, &e); err != nil {
		return err
	}
	switch e.Kind {
	case entryRecord:
		m.log = append(m.log, logged{Record: *e.Record, due: now})
	case entryTruncate:
		m.log = m.log[:e.Position]
	case entryFence:
		m.fenced = max(m.fenced, e.Term)
	case entryPromote:
		m.fenced = max(m.fenced, e.Term)
		m.term, m.began, m.ruling = e.Term, e.Position, e.Term
		m.target = Source{}
	case entryFollow:
		m.fenced = max(m.fenced, e.Term)
		m.target = Source{Term: e.Term, Address: e.Address}
	case entryTerm:
		m.term = e.Term
	}
	return nil
}
