package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/statement"
)

// session is one caller's session; it belongs to one goroutine, save the fields that say otherwise.
type session struct {
	proxy     *Proxy
	caller    ClientConn
	database  policy.Database
	key       string
	workspace inventory.WorkspaceName
	// unlimited is true while the workspace has no rate.
	unlimited bool
	values    map[string]string
	prepared  map[string]forward.PreparedStatement
	// written is the last position that a commit of this session was given.
	written map[group.Service]group.Floor
	tx      *transaction
	// earlier are the first statements since the last operation that were answered here; callers may know the operation by them.
	earlier []statement.ID

	// idle is true while the session waits for a statement outside a transaction; others may read it.
	idle atomic.Bool
}

// Serve runs a caller's session to its end.
func (p *Proxy) Serve(caller ClientConn) {
	defer caller.Close()
	s := &session{proxy: p, caller: caller, written: make(map[group.Service]group.Floor)}
	p.add(s)
	defer p.remove(s)
	defer s.abandon()
	if !s.start() {
		return
	}
	s.loop()
}

func (p *Proxy) add(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
}

func (p *Proxy) remove(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// start answers the caller's first message and reports whether the session is open.
func (s *session) start() bool {
	database, key, err := s.caller.Start()
	if err != nil {
		return false
	}
	s.database, s.key = database, key
	answer := statement.Accept(statement.Idle)
	if _, refusal, ok := s.authorize(); !ok {
		s.logRefusal("", "start", refusal, nil)
		answer = refusal
	}
	return s.caller.Answer(answer) == nil && answer.Outcome == statement.Done
}

func (s *session) loop() {
	for {
		s.idle.Store(s.tx == nil)
		if s.tx == nil && s.proxy.draining.Load() {
			return
		}
		st, err := s.receive()
		s.idle.Store(false)
		if err != nil {
			return
		}
		if s.caller.Answer(s.handle(st)) != nil {
			return
		}
	}
}

// receive waits for the next statement; a transaction that rests for too long is rolled back.
func (s *session) receive() (statement.Statement, error) {
	if s.tx == nil {
		return s.caller.Receive()
	}
	limit := s.proxy.Policy().TransactionIdle
	if limit <= 0 {
		return s.caller.Receive()
	}
	clock := time.AfterFunc(limit, s.caller.Interrupt)
	defer clock.Stop()
	return s.caller.Receive()
}

// abandon rolls back what a caller left open.
func (s *session) abandon() {
	if s.tx != nil {
		s.lose()
	}
	s.tx = nil
}

// authorize decides whether the session may run requests now.
func (s *session) authorize() (*policy.Route, statement.Answer, bool) {
	current := s.proxy.Policy()
	if current == nil {
		return nil, statement.Refuse(statement.Busy, "no configuration yet", statement.Idle), false
	}
	route := current.Routes[s.database]
	if route == nil {
		return nil, statement.Refuse(statement.NoDatabase, "no route has this database", statement.Idle), false
	}
	owner := current.Workspaces[s.key]
	if route.Open {
		s.runFor(owner)
		return route, statement.Answer{}, true
	}
	if !s.proxy.leased() {
		return nil, statement.Refuse(statement.Busy, "cut off from control; keys cannot be checked", statement.Idle), false
	}
	if owner == nil {
		return nil, statement.Refuse(statement.BadKey, "the key belongs to no workspace", statement.Idle), false
	}
	s.runFor(owner)
	return route, statement.Answer{}, true
}

// runFor notes for whom the session runs requests; nil stands for nobody.
func (s *session) runFor(owner *policy.Workspace) {
	s.workspace, s.unlimited = "", false
	if owner != nil {
		s.workspace, s.unlimited = owner.Name, owner.Unlimited
	}
}

// Limits of the wait for a part of the quota.
const (
	// untriedShare is the part of the latency target, as its inverse, that may pass in wait; after a quarter a refusal comes too late
	// to be of use.
	untriedShare = 5
	// minQuotaWait lets one lost question to the leader be repeated.
	minQuotaWait = 30 * time.Millisecond
)

// admit decides whether an operation may begin: route, key and quota.
func (s *session) admit(id statement.ID) (*policy.Route, statement.Answer, bool) {
	route, refusal, ok := s.authorize()
	if !ok {
		s.logRefusal(id, "authorize", refusal, nil)
		return nil, refusal, false
	}
	if s.workspace == "" || s.unlimited {
		return route, statement.Answer{}, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(minQuotaWait, route.Target/untriedShare))
	defer cancel()
	if err := s.proxy.cfg.Admission.Acquire(ctx, s.workspace); err != nil {
		refusal = statement.Refuse(statement.Overloaded, "the workspace is over its rate; retry after 1 s", statement.Idle)
		s.logRefusal(id, "quota", refusal, err)
		return nil, refusal, false
	}
	return route, statement.Answer{}, true
}

// handle answers one statement.
func (s *session) handle(st statement.Statement) statement.Answer {
	state := s.state()
	switch st.Verb {
	case statement.Set:
		s.keep(st.ID)
		return s.set(st)
	case statement.Prepare:
		s.keep(st.ID)
		if s.prepared == nil {
			s.prepared = make(map[string]forward.PreparedStatement)
		}
		s.prepared[st.Name] = forward.PreparedStatement{ReadOnly: st.ReadOnly, Text: st.Value}
		return statement.Accept(state)
	case statement.Deallocate:
		s.keep(st.ID)
		delete(s.prepared, st.Name)
		return statement.Accept(state)
	case statement.Begin:
		return s.begin(st)
	case statement.Commit, statement.Rollback:
		return s.end(st)
	case statement.Read, statement.Write, statement.Execute:
		return s.run(st)
	default:
		return statement.Refuse(statement.Malformed, "unknown statement", state)
	}
}

// maxEarlier bounds the statements that are kept of one operation.
const maxEarlier = 4

// keep remembers a statement that belongs to the next operation to be logged.
func (s *session) keep(id statement.ID) {
	if len(s.earlier) < maxEarlier {
		s.earlier = append(s.earlier, id)
	}
}

func (s *session) state() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	default:
		return statement.InTransaction
	}
}

func (s *session) set(st statement.Statement) statement.Answer {
	next := make(map[string]string, len(s.values)+1)
	for name, value := range s.values {
		next[name] = value
	}
	next[st.Name] = st.Value
	s.values = next
	return statement.Accept(s.state())
}

// resolved is a read or write with the prepared statement that it runs.
type resolved struct {
	statement.Statement
	readOnly bool
	shape    *forward.PreparedStatement
}

// resolve finds out what a statement runs.
func (s *session) resolve(st statement.Statement) (resolved, bool) {
	if st.Verb != statement.Execute {
		return resolved{Statement: st, readOnly: st.Verb == statement.Read}, true
	}
	prepared, found := s.prepared[st.Name]
	return resolved{Statement: st, readOnly: prepared.ReadOnly, shape: &prepared}, found
}

// run answers a read or a write.
func (s *session) run(st statement.Statement) statement.Answer {
	what, found := s.resolve(st)
	if s.tx != nil {
		if !found {
			return s.tx.fail(statement.Refuse(statement.UnknownStatement, "no such prepared statement", statement.Failed))
		}
		return s.runInTransaction(what)
	}
	if !found {
		return statement.Refuse(statement.UnknownStatement, "no such prepared statement", statement.Idle)
	}
	route, refusal, ok := s.admit(st.ID)
	if !ok {
		return refusal
	}
	c := s.proxy.cluster(route.Service)
	r := &request{session: s, route: route, cluster: c, what: what, began: s.proxy.cfg.Now()}
	answer := r.run()
	answer.State = statement.Idle
	return answer
}
