package database

import (
	"context"
	"fmt"
	"time"

	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/bench/internal/statement"
	"lentilwind.dev/lentilwind/group"
)

// runMonitoring runs a statement of a monitoring connection.
func (s *session) runMonitoring(ctx context.Context, st *statement.Statement, arguments []statement.Value) (*result, error) {
	q := &query{ctx: ctx, st: st, arguments: arguments}
	switch st.Kind {
	case statement.KindConstant, statement.KindSleep:
		return q.execute()
	case statement.KindStatus:
		return statusResult(s.run.statuses()...), nil
	case statement.KindWait:
		return s.runWait(ctx, q)
	case statement.KindFence, statement.KindPromote, statement.KindFollow:
		return s.runFailover(q)
	}
	return nil, &statement.Error{Code: "42501", Message: "a monitoring connection cannot use rows or transactions"}
}

func (r *serverRun) statuses() []group.Status {
	var list []group.Status
	for _, m := range r.members {
		list = append(list, m.Status())
	}
	return list
}

// unsignedArgument returns an argument that must not be negative.
func (q *query) unsignedArgument(i int) (uint64, error) {
	n := q.value(q.st.Arguments[i]).Int
	if n < 0 {
		return 0, &statement.Error{Code: "22003", Message: fmt.Sprintf("%d is negative", n)}
	}
	return uint64(n), nil
}

// memberArgument returns the member of the slot given as the first argument.
func (s *session) memberArgument(q *query) (*member.Member, error) {
	slot, err := q.unsignedArgument(0)
	if err != nil {
		return nil, err
	}
	if slot >= uint64(len(s.run.members)) {
		return nil, &statement.Error{Code: "22023", Message: fmt.Sprintf("there is no slot %d", slot)}
	}
	return s.run.members[slot], nil
}

// runWait waits until the received position reaches a position or the time in milliseconds has passed.
func (s *session) runWait(ctx context.Context, q *query) (*result, error) {
	m, err := s.memberArgument(q)
	if err != nil {
		return nil, err
	}
	position, err := q.unsignedArgument(1)
	if err != nil {
		return nil, err
	}
	ms, err := q.unsignedArgument(2)
	if err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	defer cancel()
	m.WaitForPosition(limited, group.Position(position))
	if ctx.Err() != nil {
		return nil, &statement.Error{Code: member.CodeQueryCanceled, Message: "canceling statement due to user request"}
	}
	return statusResult(s.run.statuses()...), nil
}

// runFailover fences, promotes or redirects a member and returns its status.
func (s *session) runFailover(q *query) (*result, error) {
	m, err := s.memberArgument(q)
	if err != nil {
		return nil, err
	}
	term, err := q.unsignedArgument(1)
	if err != nil {
		return nil, err
	}
	var status group.Status
	switch q.st.Kind {
	case statement.KindFence:
		status, err = m.Fence(group.Term(term))
	case statement.KindFollow:
		status, err = m.Follow(group.Term(term), q.value(q.st.Arguments[2]).Text)
	default:
		var position uint64
		if position, err = q.unsignedArgument(2); err == nil {
			status, err = m.Promote(group.Term(term), group.Position(position))
		}
	}
	if err != nil {
		return nil, err
	}
	return statusResult(status), nil
}

func statusResult(statuses ...group.Status) *result {
	res := &result{tag: fmt.Sprintf("SELECT %d", len(statuses))}
	for _, st := range statuses {
		res.rows = append(res.rows, []statement.Value{
			statement.Int(int64(st.Slot)), statement.Text(string(st.Role)),
			statement.Int(int64(st.Term)), statement.Int(int64(st.FencedTerm)),
			statement.Int(int64(st.Received)), statement.Int(int64(st.Applied)),
			statement.Int(st.Lag.Milliseconds()),
		})
	}
	return res
}
