package member

import (
	"context"
	"math"
	"time"

	"lentilwind.dev/bench/internal/wal"
	"lentilwind.dev/lentilwind/group"
)

type walOffset = wal.Offset

// Transaction reads and changes rows of one workspace; it must not be used concurrently.
type Transaction struct {
	member    *Member
	name      string
	workspace string
	// timeout limits the wait for a row lock.
	timeout    time.Duration
	operations []Operation
	// latest holds the last operation on each row that the transaction changed.
	latest map[lockKey]Operation
	locked []lockKey
}

// Begin starts a transaction.
func (m *Member) Begin(name, workspace string, lockTimeout time.Duration) *Transaction {
	return &Transaction{
		member: m, name: name, workspace: workspace, timeout: lockTimeout, latest: make(map[lockKey]Operation),
	}
}

// Name returns the transaction's name.
func (t *Transaction) Name() string { return t.name }

// OperationCount returns the number of operations so far.
func (t *Transaction) OperationCount() int { return len(t.operations) }

// Find returns the committed rows with the transaction's own changes, limited to one key unless key is nil.
func (t *Transaction) Find(table string, key *string) []Row {
	t.member.mu.RLock()
	found := t.member.rows.find(scope{table: table, workspace: t.workspace}, key)
	t.member.mu.RUnlock()
	for i, op := range t.operations {
		if op.Table != table {
			continue
		}
		old, exists := found[op.Identity]
		if op.Delete || key != nil && op.Key != *key {
			delete(found, op.Identity)
			continue
		}
		row := op.row()
		row.order = old.order
		if !exists {
			row.order = math.MaxUint64 - uint64(len(t.operations)-i)
		}
		found[op.Identity] = row
	}
	return sortRows(found)
}

// Get returns the row with the given identity.
func (t *Transaction) Get(table, identity string) (Row, bool) {
	if op, changed := t.latest[lockKey{table, t.workspace, identity}]; changed {
		return op.row(), !op.Delete
	}
	t.member.mu.RLock()
	defer t.member.mu.RUnlock()
	set := t.member.rows.scopes[scope{table: table, workspace: t.workspace}]
	if set == nil {
		return Row{}, false
	}
	row, ok := set.rows[identity]
	return row, ok
}

// Lock locks one row for the rest of the transaction.
func (t *Transaction) Lock(ctx context.Context, table, identity string) error {
	return t.member.locks.acquire(ctx, t, lockKey{table, t.workspace, identity}, t.timeout)
}

// AddOperation adds an operation on a row whose lock the transaction holds.
func (t *Transaction) AddOperation(op Operation) {
	op.Workspace = t.workspace
	t.operations = append(t.operations, op)
	t.latest[lockKey{op.Table, op.Workspace, op.Identity}] = op
}

// Rollback releases the locks; the operations are discarded.
func (t *Transaction) Rollback() { t.member.locks.release(t) }

// Commit appends the changes to the log and returns once they are durable and visible.
func (t *Transaction) Commit(term group.Term) (group.Position, error) {
	defer t.member.locks.release(t)
	m := t.member
	m.mu.Lock()
	if err := m.checkWrite(term); err != nil {
		m.mu.Unlock()
		return 0, err
	}
	if len(t.operations) == 0 {
		defer m.mu.Unlock()
		return m.applied, nil
	}
	record := Record{
		Term: term, Position: group.Position(len(m.log) + 1), Transaction: t.name, Operations: t.operations,
	}
	end := m.append(entry{Kind: entryRecord, Record: &record})
	m.log = append(m.log, localRecord{Record: record, offset: end})
	m.mu.Unlock()
	if err := m.wal.Sync(end); err != nil {
		return 0, &Error{Code: CodeShutdown, Message: err.Error()}
	}
	m.advance()
	return record.Position, nil
}

// Operations returns the operations so far.
func (t *Transaction) Operations() []Operation { return t.operations }
