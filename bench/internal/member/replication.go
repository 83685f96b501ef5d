package member

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// TermRange is a run of records of one term.
type TermRange struct {
	Term group.Term     `cbor:"1,keyasint"`
	Last group.Position `cbor:"2,keyasint"`
}

// JoinRequest is what a replica says of its log to the primary that it follows.
type JoinRequest struct {
	Slot       group.Slot  `cbor:"1,keyasint"`
	Term       group.Term  `cbor:"2,keyasint"`
	TermRanges []TermRange `cbor:"3,keyasint"`
}

// JoinReply answers a Hello.
type JoinReply struct {
	// CommonPosition is the last position up to which both logs are the same.
	CommonPosition group.Position `cbor:"1,keyasint"`
	// TermStart is the position at which the primary's term began.
	TermStart group.Position `cbor:"2,keyasint"`
}

// Batch carries records from a primary to a replica.
type Batch struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
	// End is the last position that the primary has.
	End group.Position `cbor:"2,keyasint"`
	// Probe repeats the number of the newest probe answered here; 0 when there is none.
	Probe uint64 `cbor:"3,keyasint,omitempty"`
}

func epochs(log []logged) []TermRange {
	var list []TermRange
	for _, r := range log {
		if n := len(list); n > 0 && list[n-1].Term == r.Term {
			list[n-1].Last = r.Position
			continue
		}
		list = append(list, TermRange{Term: r.Term, Last: r.Position})
	}
	return list
}

// JoinRequest returns the greeting to the primary that the member follows.
func (m *Member) JoinRequest() (Source, JoinRequest) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.target, JoinRequest{Slot: m.slot, Term: m.target.Term, TermRanges: epochs(m.log)}
}

// CurrentSource returns the primary that the member follows and a channel that is closed at the next change.
func (m *Member) CurrentSource() (Source, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.target, m.changed
}

// JoinReply finds where a replica's log leaves the primary's.
func (m *Member) JoinReply(hello JoinRequest) (JoinReply, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.checkWrite(hello.Term); err != nil {
		return JoinReply{}, err
	}
	own := epochs(m.log[:m.received])
	return JoinReply{CommonPosition: common(own, hello.TermRanges), TermStart: m.began}, nil
}

// common returns the last position at which both logs hold a record of the same term; up to there they are the same.
func common(a, b []TermRange) group.Position {
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i].Term == b[j].Term {
				return min(a[i].Last, b[j].Last)
			}
		}
	}
	return 0
}

const batchRecords = 256

// NextBatch returns the records behind a position for a replica in a term, and a channel that is closed at the next change.
func (m *Member) NextBatch(term group.Term, after group.Position) (Batch, <-chan struct{}, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.checkWrite(term); err != nil {
		return Batch{}, nil, err
	}
	batch := Batch{End: m.received}
	for p := after; p < m.received && len(batch.Records) < batchRecords; p++ {
		batch.Records = append(batch.Records, m.log[p].Record)
	}
	return batch, m.changed, nil
}

// checkSource refuses what does not come from the primary that the member was last told to follow.
func (m *Member) checkSource(source Source) error {
	if m.target != source || source.Term < m.fenced {
		return wrongState("slot %d: no longer follows term %d", m.slot, source.Term)
	}
	return nil
}

// Join cuts off what the primary does not have and begins to follow it.
func (m *Member) Join(source Source, welcome JoinReply) error {
	m.mu.Lock()
	if err := m.checkSource(source); err != nil {
		m.mu.Unlock()
		return err
	}
	m.probes = nil
	if int(welcome.CommonPosition) < len(m.log) {
		m.truncate(welcome.CommonPosition)
	}
	m.joining, m.joinAt, m.joined = source.Term, welcome.TermStart, 0
	end := m.join()
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return err
	}
	m.advance()
	return nil
}

// join writes the followed term behind the records that it needs and returns what must be durable; the lock is held.
//
// A member that reported the term and forgot it in a crash would be passed over by a failover in favour of a shorter log.
func (m *Member) join() walOffset {
	if m.joining > m.term && m.joined == 0 && len(m.log) >= int(m.joinAt) {
		m.joined = m.append(entry{Kind: entryTerm, Term: m.joining})
	}
	return m.joined
}

func (m *Member) truncate(position group.Position) {
	m.append(entry{Kind: entryTruncate, Position: position})
	m.log = m.log[:position:position]
	m.received = min(m.received, position)
	if m.applied <= position {
		return
	}
	m.rows, m.applied = newStore(), 0
	for _, r := range m.log {
		m.rows.apply(r.Operations)
		m.applied++
	}
}

// Receive appends records of the followed primary; due is when they may become visible.
func (m *Member) Receive(source Source, batch Batch, sent, due time.Time) error {
	m.mu.Lock()
	if err := m.checkSource(source); err != nil {
		m.mu.Unlock()
		return err
	}
	var end walOffset
	for _, r := range batch.Records {
		if int(r.Position) != len(m.log)+1 {
			m.mu.Unlock()
			return wrongState("slot %d: record %d does not follow %d", m.slot, r.Position, len(m.log))
		}
		end = m.append(entry{Kind: entryRecord, Record: &r})
		m.log = append(m.log, logged{Record: r, offset: end, due: due})
	}
	end = max(end, m.join())
	if !sent.IsZero() {
		m.probes = append(m.probes, probe{sent: sent, end: batch.End})
	}
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return err
	}
	m.advance()
	return nil
}
