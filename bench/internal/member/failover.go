package member

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Fence makes the member durably refuse records and commits of terms older than the given one.
func (m *Member) Fence(term group.Term) (group.Status, error) {
	m.mu.Lock()
	if term < m.fencedTerm {
		defer m.mu.Unlock()
		return group.Status{}, wrongState("slot %d: promised term %d, which is newer than %d", m.slot, m.fencedTerm, term)
	}
	m.raiseFencedTerm(term)
	end := m.append(entry{Kind: entryFence, Term: term})
	m.notify()
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return group.Status{}, err
	}
	m.advance()
	return m.Status(), nil
}

// raiseFencedTerm raises the fenced term; the caller holds the lock.
func (m *Member) raiseFencedTerm(term group.Term) {
	if term <= m.fencedTerm {
		return
	}
	if m.isPrimary() {
		m.caughtUpAt = time.Now()
	}
	m.fencedTerm = term
}

// Promote makes the member the primary of the term at which it is fenced.
func (m *Member) Promote(term group.Term, position group.Position) (group.Status, error) {
	m.mu.Lock()
	if m.primaryTerm == term && m.fencedTerm == term {
		defer m.mu.Unlock()
		return m.status(time.Now()), nil
	}
	if err := m.checkPromote(term, position); err != nil {
		m.mu.Unlock()
		return group.Status{}, err
	}
	m.termStart = group.Position(len(m.log))
	end := m.append(entry{Kind: entryPromote, Term: term, Position: m.termStart})
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return group.Status{}, err
	}
	return m.becomePrimary(term)
}

func (m *Member) checkPromote(term group.Term, position group.Position) error {
	switch {
	case m.fencedTerm != term:
		return wrongState("slot %d: promised term %d, not %d", m.slot, m.fencedTerm, term)
	case m.source.Term == term:
		return wrongState("slot %d: follows another primary in term %d", m.slot, term)
	case m.received < position:
		return wrongState("slot %d: received %d, which is below %d", m.slot, m.received, position)
	}
	return nil
}

// becomePrimary makes the member the primary once the promotion is durable.
func (m *Member) becomePrimary(term group.Term) (group.Status, error) {
	synced := m.wal.Synced()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceTo(synced)
	if m.fencedTerm != term {
		return group.Status{}, wrongState("slot %d: promised term %d meanwhile", m.slot, m.fencedTerm)
	}
	for i := range m.log {
		m.log[i].visibleAt = time.Time{}
	}
	m.applyDue(time.Now())
	m.term, m.primaryTerm, m.joiningTerm = term, term, 0
	m.source, m.probes = Source{}, nil
	m.notify()
	return m.status(time.Now()), nil
}

// Follow makes the member a replica of the primary of a term, found at the address.
func (m *Member) Follow(term group.Term, address string) (group.Status, error) {
	m.mu.Lock()
	if err := m.checkFollow(term); err != nil {
		m.mu.Unlock()
		return group.Status{}, err
	}
	m.raiseFencedTerm(term)
	m.source = Source{Term: term, Address: address}
	m.probes, m.joiningTerm = nil, 0
	end := m.append(entry{Kind: entryFollow, Term: term, Address: address})
	m.notify()
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return group.Status{}, err
	}
	m.advance()
	return m.Status(), nil
}

func (m *Member) checkFollow(term group.Term) error {
	if term < m.fencedTerm {
		return wrongState("slot %d: promised term %d, which is newer than %d", m.slot, m.fencedTerm, term)
	}
	if m.primaryTerm == term {
		return wrongState("slot %d: is itself the primary of term %d", m.slot, term)
	}
	return nil
}
