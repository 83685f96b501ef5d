package journal

import "time"

// incomingSnapshot is a snapshot that has arrived in part.
type incomingSnapshot struct {
	from  MemberID
	index Index
	term  Term
	data  []byte
}

// askForSnapshot asks for a snapshot once the journal has grown enough behind the last one.
func (m *Machine) askForSnapshot() {
	grown := int(m.commit - m.log.snapshot.Index)
	if m.snapshot.asked || grown < m.cfg.SnapshotEntries && m.log.bytesAfter(max(m.log.snapshot.Index, m.log.baseIndex)) < m.cfg.SnapshotBytes {
		return
	}
	m.snapshot.asked = true
	m.out = append(m.out, TakeSnapshot{})
}

// Compact takes in the applied state as of an index and drops the entries before it.
func (m *Machine) Compact(index Index, data []byte) []Effect {
	m.snapshot.asked = false
	term, held := m.log.term(index)
	if index <= m.log.snapshot.Index || index > m.commit || !held {
		return nil
	}
	snapshot := Snapshot{Index: index, Term: term, Membership: m.log.membershipAt(index), Data: data}
	m.log.compact(snapshot, Index(m.cfg.TrailingEntries))
	m.out = append(m.out, SaveSnapshot{Snapshot: snapshot, Entries: m.log.between(index, m.log.last())})
	return m.take()
}

// Snapshot returns the newest snapshot that the member holds.
func (m *Machine) Snapshot() Snapshot { return m.log.snapshot }

// sendSnapshot begins or continues to send the snapshot to a member that lacks entries which are no longer held.
func (m *Machine) sendSnapshot(now time.Time, id MemberID, p *peer) {
	if p.snapshot != m.log.snapshot.Index {
		p.snapshot, p.waiting = m.log.snapshot.Index, false
	}
	if p.waiting {
		m.send(Message{Type: MessageAppend, To: id, Sent: m.stamp(now)})
		return
	}
	m.sendChunk(now, id, p, 0)
}

func (m *Machine) sendChunk(now time.Time, id MemberID, p *peer, offset int) {
	snapshot := m.log.snapshot
	end := min(offset+m.cfg.ChunkBytes, len(snapshot.Data))
	p.waiting, p.sentAt = true, now
	m.send(Message{
		Type: MessageSnapshot, To: id, Index: snapshot.Index, LogTerm: snapshot.Term, Sent: m.stamp(now),
		Chunk: &Chunk{Offset: offset, Total: len(snapshot.Data), Data: snapshot.Data[offset:end], Membership: snapshot.Membership},
	})
}

func (m *Machine) onSnapshot(now time.Time, msg Message) {
	m.acknowledgeLeader(now, msg)
	if msg.Chunk == nil {
		return
	}
	if term, held := m.log.term(msg.Index); msg.Index <= m.commit || held && term == msg.LogTerm {
		m.commitTo(msg.Index)
		m.incoming = nil
		m.send(Message{Type: MessageAppendReply, To: msg.From, Index: msg.Index, Sent: msg.Sent})
		return
	}
	m.collect(msg)
	if len(m.incoming.data) < msg.Chunk.Total {
		m.send(Message{
			Type: MessageSnapshotNext, To: msg.From, Index: msg.Index, Sent: msg.Sent,
			Chunk: &Chunk{Offset: len(m.incoming.data)},
		})
		return
	}
	m.install(msg)
}

// collect adds a part that follows the ones before; any other part is dropped.
func (m *Machine) collect(msg Message) {
	in := m.incoming
	if in == nil || in.from != msg.From || in.index != msg.Index || in.term != msg.Term {
		in = &incomingSnapshot{from: msg.From, index: msg.Index, term: msg.Term}
		m.incoming = in
	}
	if msg.Chunk.Offset == len(in.data) {
		in.data = append(in.data, msg.Chunk.Data...)
	}
}

func (m *Machine) install(msg Message) {
	snapshot := Snapshot{Index: msg.Index, Term: msg.LogTerm, Membership: msg.Chunk.Membership, Data: m.incoming.data}
	m.incoming = nil
	m.snapshot.asked = false
	m.log.reset(snapshot)
	m.commit = msg.Index
	m.out = append(m.out, SaveSnapshot{Snapshot: snapshot}, Restore{Snapshot: snapshot})
	m.send(Message{Type: MessageAppendReply, To: msg.From, Index: msg.Index, Sent: msg.Sent})
}

// onSnapshotNext sends the part that a member asks for.
func (m *Machine) onSnapshotNext(now time.Time, msg Message) {
	p := m.onAnswer(now, msg)
	if p == nil || p.snapshot != msg.Index || msg.Index != m.log.snapshot.Index || msg.Chunk == nil {
		return
	}
	if offset := msg.Chunk.Offset; offset >= 0 && offset < len(m.log.snapshot.Data) {
		m.sendChunk(now, msg.From, p, offset)
	}
}
