package proxy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	admission "lentilwind.dev/entry/quota"
	"lentilwind.dev/lentilwind/forward"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/quota"
	"lentilwind.dev/lentilwind/statement"
)

// session is one client session. It is used by one goroutine, except for the fields that say otherwise.
type session struct {
	proxy     *Proxy
	client    ClientConn
	database  policy.Database
	key       string
	workspace inventory.WorkspaceName
	// homes are the regions that the session's requests may reach.
	homes policy.Homes
	// unlimited is true if the workspace has no rate limit.
	unlimited bool
	values    map[string]string
	prepared  map[string]forward.PreparedStatement
	// lastWrite is the position of the session's last commit to each service.
	lastWrite map[group.Service]group.Floor
	tx        *transaction
	// preceding holds the first statements since the last operation that were answered without a database. Clients may identify the operation
	// by them.
	preceding []string

	// idle is true while the session waits for a statement outside a transaction, and starting until its START message has arrived. waitNumber
	// orders the beginnings of the sessions' waits. They are read by other goroutines.
	idle, starting atomic.Bool
	waitNumber     atomic.Uint64
	acceptedAt     time.Time
	// evicted is set when the session must end to make room. It is protected by the lock of the proxy.
	evicted bool
}

// Serve runs a client session until it ends.
func (p *Proxy) Serve(client ClientConn) {
	defer client.Close()
	s := &session{proxy: p, client: client, lastWrite: make(map[group.Service]group.Floor)}
	s.starting.Store(true)
	s.acceptedAt = p.cfg.Now()
	p.add(s)
	defer p.remove(s)
	defer s.rollBackOpen()
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

// start answers the client's start message and reports whether the session is open.
func (s *session) start() bool {
	database, key, err := s.client.Start()
	s.starting.Store(false)
	if err != nil {
		return false
	}
	s.database, s.key = database, key
	s.proxy.awaitConfiguration()
	answer := statement.SuccessAnswer(statement.Idle)
	if _, refusal, ok := s.authorize(); !ok {
		s.logRefusal("", "start", refusal, nil)
		answer = refusal
	}
	return s.client.Answer(answer) == nil && answer.Outcome == statement.Done
}

func (s *session) loop() {
	for {
		s.waitNumber.Store(s.proxy.waits.Add(1))
		s.idle.Store(s.tx == nil)
		if s.tx == nil && s.proxy.draining.Load() {
			return
		}
		st, err := s.receive()
		s.idle.Store(false)
		if err != nil {
			return
		}
		if s.client.Answer(s.failAfterRefusal(s.handle(st))) != nil {
			return
		}
	}
}

// receive waits for the next statement. It ends the session when an open transaction has been idle for too long.
func (s *session) receive() (statement.Statement, error) {
	if s.tx == nil {
		return s.client.Receive()
	}
	limit := s.proxy.Policy().TransactionIdleTimeout
	if limit <= 0 {
		return s.client.Receive()
	}
	timer := time.AfterFunc(limit, s.client.Interrupt)
	defer timer.Stop()
	return s.client.Receive()
}

// rollBackOpen rolls back a transaction that the client left open.
func (s *session) rollBackOpen() {
	if s.tx != nil {
		s.dropTransactionConn()
	}
	s.tx = nil
}

// authorize checks whether the session may run requests now, and sets its workspace.
func (s *session) authorize() (*policy.Route, statement.Answer, bool) {
	current := s.proxy.Policy()
	if current == nil {
		return nil, statement.FailureAnswer(statement.Busy, "no configuration yet", statement.Idle), false
	}
	route := current.Routes[s.database]
	if route == nil {
		return nil, statement.FailureAnswer(statement.NoDatabase, "no route has this database", statement.Idle), false
	}
	workspace, refusal, ok := s.checkKey(current, route)
	if !ok {
		return nil, refusal, false
	}
	s.setWorkspace(workspace)
	s.homes = route.Homes
	if workspace != nil {
		s.homes = route.Homes.And(workspace.Homes)
	}
	return route, statement.Answer{}, true
}

// checkKey returns the workspace that holds the session's key, or nil on a route that needs no key.
//
// Without a lease no key is accepted, not even on a route that needs none: the key may have been withdrawn, and the route closed, without this
// entry knowing. Callers without a key have none that could be withdrawn.
func (s *session) checkKey(current *policy.Policy, route *policy.Route) (*policy.Workspace, statement.Answer, bool) {
	workspace := current.WorkspacesByKey[s.key]
	switch {
	case route.AllowAnonymous && (s.key == "" || current.Keyless):
		return nil, statement.Answer{}, true
	case !s.proxy.hasLease():
		return nil, statement.FailureAnswer(statement.Busy, "cut off from control; keys cannot be checked", statement.Idle), false
	case workspace == nil && !route.AllowAnonymous:
		return nil, statement.FailureAnswer(statement.BadKey, "the key belongs to no workspace", statement.Idle), false
	}
	return workspace, statement.Answer{}, true
}

// setWorkspace sets the workspace whose quota the session uses; nil stands for none.
func (s *session) setWorkspace(workspace *policy.Workspace) {
	s.workspace, s.unlimited = "", false
	if workspace != nil {
		s.workspace, s.unlimited = workspace.Name, workspace.Unlimited
	}
}

// Limits of the wait for a quota token.
const (
	// quotaPatienceDivisor gives the wait in a lasting shortage as a fraction of the latency target. A refusal after more than a quarter of the
	// target comes too late to be useful.
	quotaPatienceDivisor = 5
	// quotaWaitDivisor gives the longest wait. It leaves half of the target for the operation itself.
	quotaWaitDivisor = 2
	// minQuotaWait is long enough to repeat one lost request to the control leader.
	minQuotaWait = 30 * time.Millisecond
)

// admit checks the route, the key and the quota of an operation.
func (s *session) admit(id statement.ID) (*policy.Route, statement.Answer, bool) {
	route, refusal, ok := s.authorize()
	if !ok {
		s.logRefusal(id, "authorize", refusal, nil)
		return nil, refusal, false
	}
	if s.workspace == "" || s.unlimited {
		return route, statement.Answer{}, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(minQuotaWait, route.TargetLatency/quotaWaitDivisor))
	defer cancel()
	request := quota.Request{Class: quota.Class(route.Class), Patience: max(minQuotaWait, route.TargetLatency/quotaPatienceDivisor)}
	if err := s.proxy.cfg.Admission.Acquire(ctx, s.workspace, request); err != nil {
		refusal = statement.FailureAnswer(statement.Overloaded, quotaDetail(err), statement.Idle)
		s.logRefusal(id, "quota", refusal, err)
		return nil, refusal, false
	}
	return route, statement.Answer{}, true
}

// quotaDetail tells the caller when to come back.
func quotaDetail(err error) string {
	retryAfter := time.Second
	if refused := (*admission.Error)(nil); errors.As(err, &refused) {
		retryAfter = refused.RetryAfter
	}
	return fmt.Sprintf("the workspace is over its rate; retry after %d ms", retryAfter.Milliseconds())
}

// handle answers one statement.
func (s *session) handle(st statement.Statement) statement.Answer {
	state := s.state()
	switch st.Verb {
	case statement.Set:
		s.addPreceding(st.ID)
		return s.set(st)
	case statement.Prepare:
		s.addPreceding(st.ID)
		return s.prepare(st)
	case statement.Deallocate:
		s.addPreceding(st.ID)
		if old, found := s.prepared[st.Name]; found {
			s.client.Release(stateBytes(st.Name, old.Text))
			delete(s.prepared, st.Name)
		}
		return statement.SuccessAnswer(state)
	case statement.Begin:
		return s.begin(st)
	case statement.Commit, statement.Rollback:
		return s.end(st)
	case statement.Read, statement.Write, statement.Execute:
		return s.run(st)
	default:
		return statement.FailureAnswer(statement.Malformed, "unknown statement", state)
	}
}

// maxPreceding limits the statements that are stored for one operation.
const maxPreceding = 4

// addPreceding stores a statement that will be logged with the next operation.
func (s *session) addPreceding(id statement.ID) {
	if len(s.preceding) < maxPreceding {
		// A copy, because the ID is a part of the message, which may be large.
		s.preceding = append(s.preceding, strings.Clone(clip(string(id))))
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

// stateOverhead is what a value or a prepared statement takes besides its text, in bytes.
const stateOverhead = 128

// stateBytes returns the memory that a value or a prepared statement takes.
func stateBytes(name, text string) int { return len(name) + len(text) + stateOverhead }

// reserveState takes the memory for a value or a prepared statement that replaces another one of the same name, which may be missing.
func (s *session) reserveState(name, text, oldText string, replaces bool) error {
	if err := s.client.Reserve(stateBytes(name, text)); err != nil {
		return err
	}
	if replaces {
		s.client.Release(stateBytes(name, oldText))
	}
	return nil
}

// noMemory is the answer to a statement whose state finds no memory.
func (s *session) noMemory(id statement.ID, err error) statement.Answer {
	answer := statement.FailureAnswer(statement.Overloaded, "no memory is left for values and prepared statements", s.state())
	s.logRefusal(id, "memory", answer, err)
	return answer
}

func (s *session) prepare(st statement.Statement) statement.Answer {
	old, replaces := s.prepared[st.Name]
	if err := s.reserveState(st.Name, st.Value, old.Text, replaces); err != nil {
		return s.noMemory(st.ID, err)
	}
	if s.prepared == nil {
		s.prepared = make(map[string]forward.PreparedStatement)
	}
	s.prepared[strings.Clone(st.Name)] = forward.PreparedStatement{ReadOnly: st.ReadOnly, Text: strings.Clone(st.Value)}
	return statement.SuccessAnswer(s.state())
}

func (s *session) set(st statement.Statement) statement.Answer {
	old, replaces := s.values[st.Name]
	if err := s.reserveState(st.Name, st.Value, old, replaces); err != nil {
		return s.noMemory(st.ID, err)
	}
	next := make(map[string]string, len(s.values)+1)
	for name, value := range s.values {
		next[name] = value
	}
	next[strings.Clone(st.Name)] = strings.Clone(st.Value)
	s.values = next
	return statement.SuccessAnswer(s.state())
}

// resolvedStatement is a read or write, with the prepared statement that it executes, if any.
type resolvedStatement struct {
	statement.Statement
	readOnly bool
	prepared *forward.PreparedStatement
}

// resolve looks up the prepared statement that a statement executes. It reports false if there is none of that name.
func (s *session) resolve(st statement.Statement) (resolvedStatement, bool) {
	if st.Verb != statement.Execute {
		return resolvedStatement{Statement: st, readOnly: st.Verb == statement.Read}, true
	}
	prepared, found := s.prepared[st.Name]
	return resolvedStatement{Statement: st, readOnly: prepared.ReadOnly, prepared: &prepared}, found
}

// run answers a read or a write.
func (s *session) run(st statement.Statement) statement.Answer {
	resolved, found := s.resolve(st)
	if s.tx != nil {
		if !found {
			return s.tx.fail(statement.FailureAnswer(statement.UnknownStatement, "no such prepared statement", statement.Failed))
		}
		return s.runInTransaction(resolved)
	}
	if !found {
		return statement.FailureAnswer(statement.UnknownStatement, "no such prepared statement", statement.Idle)
	}
	route, refusal, ok := s.admit(st.ID)
	if !ok {
		return refusal
	}
	cluster := s.proxy.cluster(route.Service)
	r := &request{session: s, route: route, cluster: cluster, stmt: resolved, homes: s.homes, started: s.proxy.cfg.Now()}
	answer := r.run()
	answer.State = statement.Idle
	return answer
}
