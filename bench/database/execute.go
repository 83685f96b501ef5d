package database

import (
	"context"
	"fmt"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/bench/internal/statement"
	"lentilwind.dev/lentilwind/inventory"
)

// result holds the rows and the command tag of one statement.
type result struct {
	rows [][]statement.Value
	tag  string
}

// execute records and runs one statement.
func (s *session) execute(st *statement.Statement, arguments []statement.Value) (*result, error) {
	ctx, cancel := context.WithCancel(s.run.ctx)
	defer cancel()
	s.setCancel(cancel)
	defer s.setCancel(nil)
	texts := argumentTexts(arguments)
	s.observe(history.DatabaseEvent{Kind: history.DatabaseStatement, Statement: st.Text, Arguments: texts})
	res, err := s.runDelayed(ctx, st, arguments)
	if err != nil {
		s.observeRefusal(st.Text, texts, err)
	}
	return res, err
}

func argumentTexts(arguments []statement.Value) []string {
	var texts []string
	for _, v := range arguments {
		texts = append(texts, formatText(v))
	}
	return texts
}

// runDelayed waits for the configured delay and then runs the statement unless the transaction is aborted.
func (s *session) runDelayed(ctx context.Context, st *statement.Statement, arguments []statement.Value) (*result, error) {
	if !s.isMonitor && st.Kind != statement.KindSet {
		if err := sleep(ctx, s.run.server.faults.get().StatementDelay.Std()); err != nil {
			return nil, err
		}
	}
	if s.failed && st.Kind != statement.KindCommit && st.Kind != statement.KindRollback {
		message := "current transaction is aborted, commands ignored until end of transaction block"
		return nil, &statement.Error{Code: "25P02", Message: message}
	}
	return s.dispatch(ctx, st, arguments)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return &statement.Error{Code: member.CodeQueryCanceled, Message: "canceling statement due to user request"}
	}
}

func (s *session) dispatch(ctx context.Context, st *statement.Statement, arguments []statement.Value) (*result, error) {
	switch st.Kind {
	case statement.KindSet:
		return s.set(st)
	case statement.KindShow:
		return s.show(st)
	case statement.KindDiscard:
		return s.discard()
	case statement.KindDeallocate:
		return s.deallocate(st)
	case statement.KindCommit:
		return s.commitBlock()
	case statement.KindRollback:
		return s.rollbackBlock()
	}
	if s.isMonitor {
		return s.runMonitoring(ctx, st, arguments)
	}
	if err := s.ensureTransaction(); err != nil {
		return nil, err
	}
	if st.Kind == statement.KindBegin {
		s.inBlock, s.readOnly = true, st.ReadOnly
		return &result{tag: "BEGIN"}, nil
	}
	return s.runData(ctx, st, arguments)
}

// ensureTransaction checks the scope and begins a transaction if none is open.
func (s *session) ensureTransaction() error {
	m, err := s.member()
	if err != nil {
		return err
	}
	access := s.scope[settingAccess]
	switch {
	case s.isReader && s.hasWriteAccess():
		return &statement.Error{Code: member.CodeReadOnly, Message: "this user only reads"}
	case s.scope[settingWorkspace] == "" || access == "":
		return &statement.Error{Code: "55000", Message: "the connection has no scope"}
	case s.hasWriteAccess():
		if err := m.CheckWrite(s.term()); err != nil {
			return err
		}
	}
	if s.transaction == nil {
		name := s.run.server.transactionName(s.run.incarnation)
		s.transaction = m.Begin(name, s.scope[settingWorkspace], s.run.server.cfg.LockTimeout.Std())
	}
	return nil
}

// runData runs a statement on rows.
func (s *session) runData(ctx context.Context, st *statement.Statement, arguments []statement.Value) (*result, error) {
	if st.Writes() && (!s.hasWriteAccess() || s.readOnly) {
		return nil, &statement.Error{Code: member.CodeReadOnly, Message: "cannot execute a write in a read-only transaction"}
	}
	q := &query{ctx: ctx, st: st, arguments: arguments, transaction: s.transaction}
	return q.execute()
}

func (s *session) set(st *statement.Statement) (*result, error) {
	if s.transaction != nil || s.inBlock {
		return nil, &statement.Error{Code: "25001", Message: "the scope cannot change inside a transaction"}
	}
	if err := s.checkSetting(st.Name, st.SettingValue); err != nil {
		return nil, err
	}
	s.scope[st.Name] = st.SettingValue
	return &result{tag: "SET"}, nil
}

func (s *session) checkSetting(name, value string) error {
	valid := false
	switch name {
	case settingWorkspace:
		valid = value != ""
	case settingSlot:
		var slot uint16
		_, err := fmt.Sscanf(value, "%d", &slot)
		valid = err == nil && int(slot) < len(s.run.members)
	case settingTerm:
		var term uint64
		_, err := fmt.Sscanf(value, "%d", &term)
		valid = err == nil
	case settingAccess:
		valid = value == string(inventory.AccessRead) || value == string(inventory.AccessWrite)
	default:
		return &statement.Error{Code: "42704", Message: fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	if !valid {
		return &statement.Error{Code: "22023", Message: fmt.Sprintf("invalid value for parameter %q: %q", name, value)}
	}
	return nil
}

func (s *session) show(st *statement.Statement) (*result, error) {
	value, ok := s.scope[st.Name]
	for _, p := range startupParameters {
		if p.Name == st.Name {
			value, ok = p.Value, true
		}
	}
	if !ok {
		return nil, &statement.Error{Code: "42704", Message: fmt.Sprintf("unrecognized configuration parameter %q", st.Name)}
	}
	return &result{rows: [][]statement.Value{{statement.Text(value)}}, tag: "SHOW"}, nil
}

func (s *session) discard() (*result, error) {
	if s.inBlock {
		return nil, &statement.Error{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	s.rollback()
	s.scope = make(map[string]string)
	s.prepared = make(map[string]*prepared)
	s.portals = make(map[string]*portal)
	return &result{tag: "DISCARD ALL"}, nil
}

func (s *session) deallocate(st *statement.Statement) (*result, error) {
	if st.Name == "" {
		s.prepared = make(map[string]*prepared)
		return &result{tag: "DEALLOCATE ALL"}, nil
	}
	if s.prepared[st.Name] == nil {
		return nil, &statement.Error{Code: "26000", Message: fmt.Sprintf("prepared statement %q does not exist", st.Name)}
	}
	delete(s.prepared, st.Name)
	return &result{tag: "DEALLOCATE"}, nil
}

func (s *session) commitBlock() (*result, error) {
	if s.failed {
		return s.rollbackBlock()
	}
	s.inBlock = false
	if err := s.commit(); err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

func (s *session) rollbackBlock() (*result, error) {
	s.rollback()
	return &result{tag: "ROLLBACK"}, nil
}

// commit commits the open transaction, if any; with read access it rolls back instead.
func (s *session) commit() error {
	t := s.transaction
	if t == nil {
		return nil
	}
	if !s.hasWriteAccess() {
		s.rollback()
		return nil
	}
	changes := t.Operations()
	position, err := t.Commit(s.term())
	if err != nil {
		s.observeRefusal("COMMIT", nil, err)
		s.clearTransaction()
		return err
	}
	observed := history.DatabaseEvent{Kind: history.DatabaseCommitted, Position: position}
	for _, op := range changes {
		observed.Changes = append(observed.Changes, history.Change{
			Table: op.Table, ID: op.ID, Key: op.Key, Value: op.Value, Delete: op.Delete,
		})
	}
	s.observe(observed)
	s.clearTransaction()
	return nil
}

func (s *session) rollback() {
	if t := s.transaction; t != nil {
		t.Rollback()
		s.observe(history.DatabaseEvent{Kind: history.DatabaseRolledBack})
	}
	s.clearTransaction()
}

// clearTransaction resets the transaction state of the session.
func (s *session) clearTransaction() {
	s.transaction = nil
	s.inBlock, s.failed, s.readOnly = false, false, false
}
