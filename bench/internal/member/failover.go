package member

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Fence promises to take and commit nothing of a term older than the given one.
func (m *Member) Fence(term group.Term) (group.Status, error) {
	m.mu.Lock()
	if term < m.fenced {
		defer m.mu.Unlock()
		return group.Status{}, wrongState("slot %d: promised term %d, which is newer than %d", m.slot, m.fenced, term)
	}
	m.promise(term)
	end := m.append(entry{Kind: entryFence, Term: term})
	m.notify()
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return group.Status{}, err
	}
	m.advance()
	return m.Status(), nil
}

// promise raises the promised term; the lock is held.
func (m *Member) promise(term group.Term) {
	if term <= m.fenced {
		return
	}
	if m.primary() {
		m.fresh = time.Now()
	}
	m.fenced = term
}

// Promote makes the member the primary of the term that it is fenced at.
func (m *Member) Promote(term group.Term, position group.Position) (group.Status, error) {
	m.mu.Lock()
	if m.ruling == term && m.fenced == term {
		defer m.mu.Unlock()
		return m.status(time.Now()), nil
	}
	if err := m.checkPromote(term, position); err != nil {
		m.mu.Unlock()
		return group.Status{}, err
	}
	m.began = group.Position(len(m.log))
	end := m.append(entry{Kind: entryPromote, Term: term, Position: m.began})
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return group.Status{}, err
	}
	return m.rule(term)
}

func (m *Member) checkPromote(term group.Term, position group.Position) error {
	switch {
	case m.fenced != term:
		return wrongState("slot %d: promised term %d, not %d", m.slot, m.fenced, term)
	case m.target.Term == term:
		return wrongState("slot %d: follows another primary in term %d", m.slot, term)
	case m.received < position:
		return wrongState("slot %d: received %d, which is below %d", m.slot, m.received, position)
	}
	return nil
}

// rule takes up the duty of a primary once the promotion is durable.
func (m *Member) rule(term group.Term) (group.Status, error) {
	synced := m.wal.Synced()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceTo(synced)
	if m.fenced != term {
		return group.Status{}, wrongState("slot %d: promised term %d meanwhile", m.slot, m.fenced)
	}
	for i := range m.log {
		m.log[i].due = time.Time{}
	}
	m.applyDue(time.Now())
	m.term, m.ruling, m.joining = term, term, 0
	m.target, m.probes = Source{}, nil
	m.notify()
	return m.status(time.Now()), nil
}

// Follow makes the member a replica of the primary of a term.
func (m *Member) Follow(term group.Term, address string) (group.Status, error) {
	m.mu.Lock()
	if err := m.checkFollow(term); err != nil {
		m.mu.Unlock()
		return group.Status{}, err
	}
	m.promise(term)
	m.target = Source{Term: term, Address: address}
	m.probes, m.joining = nil, 0
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
	if term < m.fenced {
		return wrongState("slot %d: promised term %d, which is newer than %d", m.slot, m.fenced, term)
	}
	if m.ruling == term {
		return wrongState("slot %d: is itself the primary of term %d", m.slot, term)
	}
	return nil
}
