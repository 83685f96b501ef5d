package database

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/bench/internal/statement"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// session is one client connection: of an entry, a monitor or a test program.
type session struct {
	run       *serverRun
	conn      *conn
	id        uint64
	backend   *pgproto3.Backend
	processID uint32
	secretKey []byte
	isMonitor bool
	isReader  bool

	scope    map[string]string
	prepared map[string]*prepared
	portals  map[string]*portal
	// transaction is the open transaction, if any; inBlock is set once BEGIN has opened a block.
	transaction *member.Transaction
	inBlock     bool
	readOnly    bool
	failed      bool
	// skipToSync ignores messages up to the next Sync after an error.
	skipToSync bool

	mu            sync.Mutex
	cancelCurrent context.CancelFunc
}

func newSession(r *serverRun, c *conn, id uint64, backend *pgproto3.Backend, user string) *session {
	return &session{
		run: r, conn: c, id: id, backend: backend,
		isMonitor: user == UserMonitor, isReader: user == UserReader,
		processID: randomProcessID(), secretKey: randomBytes(secretBytes),
		scope: make(map[string]string), prepared: make(map[string]*prepared), portals: make(map[string]*portal),
	}
}

func (s *session) serve() {
	defer s.rollback()
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, done := message.(*pgproto3.Terminate); done {
			return
		}
		if err := s.handle(message); err != nil {
			return
		}
	}
}

func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		return s.backend.Flush()
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipToSync {
		return nil
	}
	if err := s.handleExtended(message); err != nil {
		s.reportError(err)
		s.skipToSync = true
	}
	return nil
}

// simpleQuery runs the statements of a simple query as one transaction.
func (s *session) simpleQuery(text string) {
	statements, err := statement.Parse(text)
	if err != nil {
		s.observeRefusal(text, nil, err)
		s.reportError(err)
		s.finishRequest()
		return
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		result, err := s.runSimple(st, i == len(statements)-1)
		if err != nil {
			s.reportError(err)
			break
		}
		s.sendResult(st, result)
	}
	s.finishRequest()
}

// runSimple runs one statement of a simple query; the last one commits unless BEGIN opened the transaction.
func (s *session) runSimple(st *statement.Statement, last bool) (*result, error) {
	if len(st.ParameterTypes) > 0 {
		err := &statement.Error{Code: "42P02", Message: "there is no parameter $1"}
		s.observeRefusal(st.Text, nil, err)
		return nil, err
	}
	result, err := s.execute(st, nil)
	if err != nil || !last || s.inBlock {
		return result, err
	}
	return result, s.commit()
}

func (s *session) sendResult(st *statement.Statement, result *result) {
	if st.ReturnsRows() {
		s.backend.Send(rowDescription(st.ResultColumns, nil))
		for _, row := range result.rows {
			s.backend.Send(dataRow(row, nil))
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.tag)})
}

func (s *session) sync() error {
	s.skipToSync = false
	s.finishRequest()
	return s.backend.Flush()
}

// finishRequest commits a transaction that no BEGIN opened, and reports the position and the transaction status.
func (s *session) finishRequest() {
	if !s.inBlock {
		if err := s.commit(); err != nil {
			s.sendError(err)
		}
		s.portals = make(map[string]*portal)
		s.sendPosition()
	}
	s.sendReady()
}

func (s *session) sendReady() {
	status := byte('I')
	if s.inBlock {
		status = 'T'
	}
	if s.failed {
		status = 'E'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	_ = s.backend.Flush()
}

func (s *session) sendPosition() {
	m, err := s.member()
	if err != nil {
		return
	}
	s.backend.Send(&pgproto3.ParameterStatus{Name: "lentilwind.position", Value: m.Status().String()})
}

// reportError sends an error and aborts the open transaction.
func (s *session) reportError(err error) {
	s.sendError(err)
	if s.inBlock {
		s.failed = true
		return
	}
	s.rollback()
}

func (s *session) sendError(err error) {
	code, message := errorFields(err)
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

// errorFields returns the SQLSTATE and the message that an ErrorResponse carries.
func errorFields(err error) (code, message string) {
	var refused *statement.Error
	if errors.As(err, &refused) {
		return refused.Code, refused.Message
	}
	var state *member.Error
	if errors.As(err, &state) {
		return state.Code, state.Message
	}
	return "XX000", err.Error()
}

// The configuration parameters that make up the scope of a transaction.
const (
	settingWorkspace = "lentilwind.workspace"
	settingSlot      = "lentilwind.slot"
	settingTerm      = "lentilwind.term"
	settingAccess    = "lentilwind.access"
)

// member returns the group member of the slot in the scope.
func (s *session) member() (*member.Member, error) {
	slot, err := strconv.ParseUint(s.scope[settingSlot], 10, 16)
	if err != nil || int(slot) >= len(s.run.members) {
		return nil, &statement.Error{Code: "55000", Message: "the connection has no scope"}
	}
	return s.run.members[slot], nil
}

func (s *session) term() group.Term {
	term, _ := strconv.ParseUint(s.scope[settingTerm], 10, 64)
	return group.Term(term)
}

func (s *session) hasWriteAccess() bool {
	return s.scope[settingAccess] == string(inventory.AccessWrite)
}

// observe records an observation, completed with the connection, its scope and the open transaction.
func (s *session) observe(o history.DatabaseEvent) {
	if !s.run.server.observations.enabled() {
		return
	}
	cfg := &s.run.server.cfg
	o.Service, o.Server, o.Connection = cfg.Service, cfg.Server, s.id
	o.Workspace, o.Access, o.Term = s.scope[settingWorkspace], s.scope[settingAccess], s.term()
	slot, _ := strconv.ParseUint(s.scope[settingSlot], 10, 16)
	o.Slot = group.Slot(slot)
	if m, err := s.member(); err == nil {
		o.Role = m.Status().Role
	}
	if s.transaction != nil {
		o.Transaction = s.transaction.Name()
	}
	s.run.server.observations.add(o)
}

// observeRefusal records that a statement was refused.
func (s *session) observeRefusal(text string, arguments []string, err error) {
	code, _ := errorFields(err)
	s.observe(history.DatabaseEvent{Kind: history.DatabaseRefused, Statement: text, Arguments: arguments, Code: code})
}

func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelCurrent != nil {
		s.cancelCurrent()
	}
}

func (s *session) setCancel(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelCurrent = cancel
}
