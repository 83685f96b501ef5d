package member

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// TermRange is a sequence of consecutive records of one term; Last is the position of its last record.
type TermRange struct {
	Term group.Term     `cbor:"1,keyasint"`
	Last group.Position `cbor:"2,keyasint"`
}

// JoinRequest describes a replica's log to the primary that it follows.
type JoinRequest struct {
	Slot       group.Slot  `cbor:"1,keyasint"`
	Term       group.Term  `cbor:"2,keyasint"`
	TermRanges []TermRange `cbor:"3,keyasint"`
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// CommonPosition is the last position up to which both logs are identical.
	CommonPosition group.Position `cbor:"1,keyasint"`
	// TermStart is the position at which the primary's term began.
	TermStart group.Position `cbor:"2,keyasint"`
}

// Batch carries records from a primary to a replica.
type Batch struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
	// End is the last position in the primary's log.
	End group.Position `cbor:"2,keyasint"`
	// Probe is the number of the newest probe that this batch answers, or 0 if it answers none.
	Probe uint64 `cbor:"3,keyasint,omitempty"`
}

func termRanges(log []localRecord) []TermRange {
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

// JoinRequest returns the primary that the member follows and the request to send to it.
func (m *Member) JoinRequest() (Source, JoinRequest) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.source, JoinRequest{Slot: m.slot, Term: m.source.Term, TermRanges: termRanges(m.log)}
}

// CurrentSource returns the primary that the member follows and a channel that is closed at the next change.
func (m *Member) CurrentSource() (Source, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.source, m.changed
}

// JoinReply finds the position at which a replica's log diverges from the primary's.
func (m *Member) JoinReply(request JoinRequest) (JoinReply, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.checkWrite(request.Term); err != nil {
		return JoinReply{}, err
	}
	own := termRanges(m.log[:m.received])
	return JoinReply{CommonPosition: commonPosition(own, request.TermRanges), TermStart: m.termStart}, nil
}

// commonPosition returns the last position at which both logs hold a record of the same term; up to it they are identical.
func commonPosition(a, b []TermRange) group.Position {
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i].Term == b[j].Term {
				return min(a[i].Last, b[j].Last)
			}
		}
	}
	return 0
}

const maxBatchRecords = 256

// NextBatch returns the records after a position for a replica in a term, and a channel that is closed at the next change.
func (m *Member) NextBatch(term group.Term, after group.Position) (Batch, <-chan struct{}, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if err := m.checkWrite(term); err != nil {
		return Batch{}, nil, err
	}
	batch := Batch{End: m.received}
	for p := after; p < m.received && len(batch.Records) < maxBatchRecords; p++ {
		batch.Records = append(batch.Records, m.log[p].Record)
	}
	return batch, m.changed, nil
}

// checkSource returns an error if the source is not the primary that the member was last told to follow.
func (m *Member) checkSource(source Source) error {
	if m.source != source || source.Term < m.fencedTerm {
		return wrongState("slot %d: no longer follows term %d", m.slot, source.Term)
	}
	return nil
}

// Join truncates the records that the primary does not have and starts to follow it.
func (m *Member) Join(source Source, reply JoinReply) error {
	m.mu.Lock()
	if err := m.checkSource(source); err != nil {
		m.mu.Unlock()
		return err
	}
	m.probes = nil
	if int(reply.CommonPosition) < len(m.log) {
		m.truncate(reply.CommonPosition)
	}
	m.joiningTerm, m.joinPosition, m.joinOffset = source.Term, reply.TermStart, 0
	end := m.appendJoinedTerm()
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return err
	}
	m.advance()
	return nil
}

// appendJoinedTerm logs the followed term once the log reaches joinPosition and returns the offset that must become durable.
// The caller holds the lock.
//
// If a member reported the term and lost it in a crash, a failover could prefer another member with a shorter log.
func (m *Member) appendJoinedTerm() walOffset {
	if m.joiningTerm > m.term && m.joinOffset == 0 && len(m.log) >= int(m.joinPosition) {
		m.joinOffset = m.append(entry{Kind: entryTerm, Term: m.joiningTerm})
	}
	return m.joinOffset
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

// Receive appends records of the followed primary and waits until they are durable.
// sent is when the probe that the batch answers was sent, or zero; visibleAt is when the records may become visible.
func (m *Member) Receive(source Source, batch Batch, sent, visibleAt time.Time) error {
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
		m.log = append(m.log, localRecord{Record: r, offset: end, visibleAt: visibleAt})
	}
	end = max(end, m.appendJoinedTerm())
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
