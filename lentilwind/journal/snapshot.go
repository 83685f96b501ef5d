package journal

import "time"

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from  MemberID
	index Index
	term  Term
	data  []byte
}

// requestSnapshotIfDue requests a snapshot once the log has grown enough since the last one.
func (m *Machine) requestSnapshotIfDue() {
	entries := int(m.commitIndex - m.log.snapshot.Index)
	if m.snapshot.requested || entries < m.cfg.SnapshotEntries && m.log.sizeAfter(max(m.log.snapshot.Index, m.log.baseIndex)) < m.cfg.SnapshotBytes {
		return
	}
	m.snapshot.requested = true
	m.effects = append(m.effects, TakeSnapshot{})
}

// Compact stores a snapshot of the state applied up to an index and drops entries before it.
func (m *Machine) Compact(index Index, data []byte) []Effect {
	m.snapshot.requested = false
	term, held := m.log.term(index)
	if index <= m.log.snapshot.Index || index > m.commitIndex || !held {
		return nil
	}
	snapshot := Snapshot{Index: index, Term: term, Membership: m.log.membershipAt(index), Data: data}
	m.log.compact(snapshot, Index(m.cfg.TrailingEntries))
	m.effects = append(m.effects, SaveSnapshot{Snapshot: snapshot, Entries: m.log.entriesBetween(index, m.log.lastIndex())})
	return m.takeEffects()
}

// Snapshot returns the latest snapshot of the member.
func (m *Machine) Snapshot() Snapshot { return m.log.snapshot }

// sendSnapshot starts sending the snapshot to a member that lacks entries which are no longer held; while a chunk is in flight
// it sends only a heartbeat.
func (m *Machine) sendSnapshot(now time.Time, id MemberID, p *peer) {
	if p.snapshotIndex != m.log.snapshot.Index {
		p.snapshotIndex, p.inFlight = m.log.snapshot.Index, false
	}
	if p.inFlight {
		m.send(Message{Type: MessageAppend, To: id, Sent: m.timestamp(now)})
		return
	}
	m.sendChunk(now, id, p, 0)
}

func (m *Machine) sendChunk(now time.Time, id MemberID, p *peer, offset int) {
	snapshot := m.log.snapshot
	end := min(offset+m.cfg.ChunkBytes, len(snapshot.Data))
	p.inFlight, p.sentAt = true, now
	m.send(Message{
		Type: MessageSnapshot, To: id, Index: snapshot.Index, LogTerm: snapshot.Term, Sent: m.timestamp(now),
		Chunk: &Chunk{Offset: offset, Total: len(snapshot.Data), Data: snapshot.Data[offset:end], Membership: snapshot.Membership},
	})
}

func (m *Machine) onSnapshot(now time.Time, msg Message) {
	m.recordLeaderContact(now, msg)
	if msg.Chunk == nil {
		return
	}
	if term, held := m.log.term(msg.Index); msg.Index <= m.commitIndex || held && term == msg.LogTerm {
		m.commitUpTo(msg.Index)
		m.incoming = nil
		m.send(Message{Type: MessageAppendReply, To: msg.From, Index: msg.Index, Sent: msg.Sent})
		return
	}
	m.addChunk(msg)
	if len(m.incoming.data) < msg.Chunk.Total {
		m.send(Message{
			Type: MessageSnapshotNext, To: msg.From, Index: msg.Index, Sent: msg.Sent,
			Chunk: &Chunk{Offset: len(m.incoming.data)},
		})
		return
	}
	m.installSnapshot(msg)
}

// addChunk appends a chunk that continues the data received so far; any other chunk is ignored.
func (m *Machine) addChunk(msg Message) {
	incoming := m.incoming
	if incoming == nil || incoming.from != msg.From || incoming.index != msg.Index || incoming.term != msg.Term {
		incoming = &incomingSnapshot{from: msg.From, index: msg.Index, term: msg.Term}
		m.incoming = incoming
	}
	if msg.Chunk.Offset == len(incoming.data) {
		incoming.data = append(incoming.data, msg.Chunk.Data...)
	}
}

func (m *Machine) installSnapshot(msg Message) {
	snapshot := Snapshot{Index: msg.Index, Term: msg.LogTerm, Membership: msg.Chunk.Membership, Data: m.incoming.data}
	m.incoming = nil
	m.snapshot.requested = false
	m.log.resetTo(snapshot)
	m.commitIndex = msg.Index
	m.effects = append(m.effects, SaveSnapshot{Snapshot: snapshot}, Restore{Snapshot: snapshot})
	m.send(Message{Type: MessageAppendReply, To: msg.From, Index: msg.Index, Sent: msg.Sent})
}

// onSnapshotNext sends the chunk that a member requests.
func (m *Machine) onSnapshotNext(now time.Time, msg Message) {
	p := m.recordReply(now, msg)
	if p == nil || p.snapshotIndex != msg.Index || msg.Index != m.log.snapshot.Index || msg.Chunk == nil {
		return
	}
	if offset := msg.Chunk.Offset; offset >= 0 && offset < len(m.log.snapshot.Data) {
		m.sendChunk(now, msg.From, p, offset)
	}
}
