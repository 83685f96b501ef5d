package member

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lentilwind.dev/bench/internal/wal"
	"lentilwind.dev/lentilwind/group"
)

// Error is an error with its SQLSTATE.
type Error struct {
	Code    string
	Message string
}

// Error returns the message with the SQLSTATE.
func (e *Error) Error() string { return fmt.Sprintf("member: %s (SQLSTATE %s)", e.Message, e.Code) }

// SQLSTATEs of errors.
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

// Source identifies the primary that a member was last told to follow.
type Source struct {
	Term    group.Term
	Address string
}

// localRecord is a record with data that is local to this member.
type localRecord struct {
	Record
	// offset is the end of the record in the write-ahead log.
	offset wal.Offset
	// visibleAt is when the record may become visible to reads.
	visibleAt time.Time
}

// Member is one member of a database group.
type Member struct {
	slot group.Slot
	wal  *wal.Log

	mu   sync.RWMutex
	log  []localRecord
	rows *store
	// term is the term of the member's log.
	term group.Term
	// fencedTerm is the oldest term of which the member accepts records and commits.
	fencedTerm group.Term
	// primaryTerm is the newest term in which the member was promoted.
	primaryTerm group.Term
	// termStart is the position at which primaryTerm began.
	termStart group.Position
	received  group.Position
	applied   group.Position
	source    Source
	// joiningTerm becomes term once the log has reached joinPosition and is durable up to joinOffset.
	joiningTerm  group.Term
	joinPosition group.Position
	joinOffset   wal.Offset
	// caughtUpAt is the latest time as of which everything that the primary had is known to be applied here.
	caughtUpAt time.Time
	probes     []probe
	changed    chan struct{}
	locks      locks
}

// probe states that, when it was sent, the primary's log did not reach beyond end.
type probe struct {
	sent time.Time
	end  group.Position
}

// InitialConfig is the configuration of a member that has no state yet.
type InitialConfig struct {
	// Primary makes the member the primary of the first term.
	Primary bool
	// Address is the address of the primary to follow if Primary is false.
	Address string
}

// FirstTerm is the first term of every group.
const FirstTerm group.Term = 1

// unknownLag is the lag of a replica that has not heard from its primary since it started.
const unknownLag = 24 * time.Hour

// New restores a member from the log entries of its slot, or starts the first term if there are none.
func New(slot group.Slot, log *wal.Log, entries [][]byte, config InitialConfig) (*Member, error) {
	now := time.Now()
	m := &Member{slot: slot, wal: log, rows: newStore(), changed: make(chan struct{}), locks: newLocks()}
	m.caughtUpAt = now.Add(-unknownLag)
	for _, data := range entries {
		if err := m.restore(data, now); err != nil {
			return nil, fmt.Errorf("member: slot %d: %w", slot, err)
		}
	}
	m.received = group.Position(len(m.log))
	m.applyDue(now)
	if len(entries) == 0 {
		return m, m.initialize(config)
	}
	return m, nil
}

// initialize starts the first term.
func (m *Member) initialize(config InitialConfig) error {
	m.fencedTerm, m.term = FirstTerm, FirstTerm
	first := []entry{{Kind: entryTerm, Term: FirstTerm}, {Kind: entryFollow, Term: FirstTerm, Address: config.Address}}
	if config.Primary {
		m.primaryTerm = FirstTerm
		first = []entry{{Kind: entryPromote, Term: FirstTerm}}
	} else {
		m.source = Source{Term: FirstTerm, Address: config.Address}
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

// notify wakes all goroutines that wait for a change; the caller holds the lock.
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

func (m *Member) isPrimary() bool { return m.primaryTerm > 0 && m.primaryTerm == m.fencedTerm }

// Status returns the current status of the member.
func (m *Member) Status() group.Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.status(time.Now())
}

func (m *Member) status(now time.Time) group.Status {
	s := group.Status{
		Slot: m.slot, Role: group.RoleReplica, Term: m.term, FencedTerm: m.fencedTerm,
		Received: m.received, Applied: m.applied, Lag: max(0, now.Sub(m.caughtUpAt)),
	}
	if m.isPrimary() {
		s.Role, s.Lag = group.RolePrimary, 0
	}
	return s
}

// WaitForPosition waits until the received position reaches the given one or the context is done.
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

// CheckWrite returns an error if the member is not the primary of the term.
func (m *Member) CheckWrite(term group.Term) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.checkWrite(term)
}

func (m *Member) checkWrite(term group.Term) error {
	if m.isPrimary() && m.fencedTerm == term {
		return nil
	}
	message := fmt.Sprintf("slot %d: not the primary of term %d (promised %d)", m.slot, term, m.fencedTerm)
	return &Error{Code: CodeReadOnly, Message: message}
}

// advance marks durable records as received and applies those that may become visible.
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
	if m.joiningTerm > m.term && m.joinOffset > 0 && m.joinOffset <= synced {
		m.term = m.joiningTerm
	}
	m.applyDue(time.Now())
}

// applyDue applies the received records that are due to become visible; the caller holds the lock.
func (m *Member) applyDue(now time.Time) {
	for m.applied < m.received && !m.log[m.applied].visibleAt.After(now) {
		m.rows.apply(m.log[m.applied].Operations)
		m.applied++
	}
	for len(m.probes) > 0 && m.probes[0].end <= m.applied {
		if m.probes[0].sent.After(m.caughtUpAt) {
			m.caughtUpAt = m.probes[0].sent
		}
		m.probes = m.probes[1:]
	}
}

// ApplyDue applies the records that are due to become visible and returns when the next one will be, or zero.
func (m *Member) ApplyDue(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.applied
	m.applyDue(now)
	if m.applied != before {
		m.notify()
	}
	if m.applied < m.received {
		return m.log[m.applied].visibleAt
	}
	return time.Time{}
}
