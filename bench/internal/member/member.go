package member

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lentilwind.dev/bench/internal/wal"
	"lentilwind.dev/lentilwind/group"
)

// Error is a refusal with its SQLSTATE.
type Error struct {
	Code    string
	Message string
}

// Error formats the refusal.
func (e *Error) Error() string { return fmt.Sprintf("member: %s (SQLSTATE %s)", e.Message, e.Code) }

// The SQLSTATEs of refusals.
const (
	CodeReadOnly      = "25006"
	CodeWrongState    = "55000"
	CodeLockTimeout   = "55P03"
	CodeDuplicate     = "23505"
	CodeQueryCanceled = "57014"
	CodeShutdown      = "57P01"
)

func wrongState(format string, args ...any) error {
	return &Error{Code: CodeWrongState, Message: fmt.Sprintf(format, args...)}
}

// Source is the primary that a member was last told to follow.
type Source struct {
	Term    group.Term
	Address string
}

// logged is a record with what only this member knows of it.
type logged struct {
	Record
	offset wal.Offset
	// due is when the record may become visible.
	due time.Time
}

// Member is one member of a database group.
type Member struct {
	slot group.Slot
	wal  *wal.Log

	mu   sync.RWMutex
	log  []logged
	rows *store
	// term is the term of the log that the member holds.
	term   group.Term
	fenced group.Term
	// ruling is the newest term in which the member was promoted.
	ruling group.Term
	// began is the position at which the term ruled here began.
	began    group.Position
	received group.Position
	applied  group.Position
	target   Source
	// joining is the term to report once the log has reached joinAt and joined is durable.
	joining group.Term
	joinAt  group.Position
	joined  wal.Offset
	// fresh is the newest moment at which all that the primary had is known to be applied.
	fresh   time.Time
	probes  []probe
	changed chan struct{}
	locks   locks
}

// probe says that the primary had no more than a position at a moment.
type probe struct {
	sent time.Time
	end  group.Position
}

// InitialConfig is the configuration of a member that holds no state yet.
type InitialConfig struct {
	// Primary makes the member the primary of the first term.
	Primary bool
	// Address is the primary to follow otherwise.
	Address string
}

// FirstTerm is the term in which groups begin.
const FirstTerm group.Term = 1

// unknownAge is the age of a replica that has not heard of its primary since it started.
const unknownAge = 24 * time.Hour

// New restores a member from the entries of its slot.
func New(slot group.Slot, log *wal.Log, entries [][]byte, initial InitialConfig) (*Member, error) {
	now := time.Now()
	m := &Member{slot: slot, wal: log, rows: newStore(), changed: make(chan struct{}), locks: newLocks()}
	m.fresh = now.Add(-unknownAge)
	for _, data := range entries {
		if err := m.restore(data, now); err != nil {
			return nil, fmt.Errorf("member: slot %d: %w", slot, err)
		}
	}
	m.received = group.Position(len(m.log))
	m.applyDue(now)
	if len(entries) == 0 {
		return m, m.begin(initial)
	}
	return m, nil
}

// begin starts the first term.
func (m *Member) begin(initial InitialConfig) error {
	m.fenced, m.term = FirstTerm, FirstTerm
	first := []entry{{Kind: entryTerm, Term: FirstTerm}, {Kind: entryFollow, Term: FirstTerm, Address: initial.Address}}
	if initial.Primary {
		m.ruling = FirstTerm
		first = []entry{{Kind: entryPromote, Term: FirstTerm}}
	} else {
		m.target = Source{Term: FirstTerm, Address: initial.Address}
	}
	var end wal.Offset
	for _, e := range first {
		end = m.append(e)
	}
	return m.wal.Sync(end)
}

func (m *Member) append(e entry) wal.Offset {
	e.Slot = m.slot
	return m.wal.Append(encode(e))
}

// notify wakes all that wait for a change; the lock is held.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (m *Member) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

func (m *Member) primary() bool { return m.ruling > 0 && m.ruling == m.fenced }

// Status returns what the member reports of itself.
func (m *Member) Status() group.Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.status(time.Now())
}

func (m *Member) status(now time.Time) group.Status {
	s := group.Status{
		Slot: m.slot, Role: group.RoleReplica, Term: m.term, FencedTerm: m.fenced,
		Received: m.received, Applied: m.applied, Lag: max(0, now.Sub(m.fresh)),
	}
	if m.primary() {
		s.Role, s.Lag = group.RolePrimary, 0
	}
	return s
}

// WaitForPosition returns once the received position has reached a position or the context is done.
func (m *Member) WaitForPosition(ctx context.Context, position group.Position) {
	for {
		m.mu.RLock()
		reached, changed := m.received >= position, m.changed
		m.mu.RUnlock()
		if reached {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// CheckWrite refuses a statement of a term in which the member is not the primary.
func (m *Member) CheckWrite(term group.Term) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.checkWrite(term)
}

func (m *Member) checkWrite(term group.Term) error {
	if m.primary() && m.fenced == term {
		return nil
	}
	message := fmt.Sprintf("slot %d: not the primary of term %d (promised %d)", m.slot, term, m.fenced)
	return &Error{Code: CodeReadOnly, Message: message}
}

// advance takes in what has become durable and makes visible what is due.
func (m *Member) advance() {
	synced := m.wal.Synced()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceTo(synced)
	m.notify()
}

func (m *Member) advanceTo(synced wal.Offset) {
	for int(m.received) < len(m.log) && m.log[m.received].offset <= synced {
		m.received++
	}
	if m.joining > m.term && m.joined > 0 && m.joined <= synced {
		m.term = m.joining
	}
	m.applyDue(time.Now())
}

// applyDue makes visible what is received and due; the lock is held.
func (m *Member) applyDue(now time.Time) {
	for m.applied < m.received && !m.log[m.applied].due.After(now) {
		m.rows.apply(m.log[m.applied].Operations)
		m.applied++
	}
	for len(m.probes) > 0 && m.probes[0].end <= m.applied {
		if m.probes[0].sent.After(m.fresh) {
			m.fresh = m.probes[0].sent
		}
		m.probes = m.probes[1:]
	}
}

// ApplyDue makes visible what is due and returns the time at which more will be, or zero.
func (m *Member) ApplyDue(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.applied
	m.applyDue(now)
	if m.applied != before {
		m.notify()
	}
	if m.applied < m.received {
		return m.log[m.applied].due
	}
	return time.Time{}
}
