package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

var errObsolete = errors.New("executor: the server is closed or its term has ended")

// ServingState reports which servers and terms no longer serve transactions.
type ServingState interface {
	// TermEnded reports whether a newer term of the group has begun.
	TermEnded(id group.ID, term group.Term) bool
	// ServerClosed reports whether a server gets no new work.
	ServerClosed(server group.Server) bool
}

// WaitRegistry tracks the transactions that wait for a connection, so that waits for a server or term that no longer serves can be
// cancelled.
type WaitRegistry struct {
	servers sync.Map
	state   atomic.Pointer[ServingState]
}

// serverWaits holds the pending waits for one server.
type serverWaits struct {
	mu    sync.Mutex
	waits map[*pendingWait]struct{}
}

// pendingWait is the wait of a transaction of which nothing was sent yet.
type pendingWait struct {
	server *serverWaits
	id     group.ID
	term   group.Term
	cancel context.CancelCauseFunc
}

// NewWaitRegistry returns a registry without a serving state, which cancels no waits.
func NewWaitRegistry() *WaitRegistry { return &WaitRegistry{} }

// begin registers a wait. The returned context is cancelled when the server is closed or the term has ended. The caller must call
// end on the wait.
func (w *WaitRegistry) begin(ctx context.Context, opening *protocol.Forward) (context.Context, *pendingWait) {
	ctx, cancel := context.WithCancelCause(ctx)
	value, ok := w.servers.Load(opening.Server)
	if !ok {
		value, _ = w.servers.LoadOrStore(opening.Server, &serverWaits{waits: make(map[*pendingWait]struct{})})
	}
	wait := &pendingWait{server: value.(*serverWaits), id: opening.Group, term: opening.Term, cancel: cancel}
	wait.server.mu.Lock()
	defer wait.server.mu.Unlock()
	wait.server.waits[wait] = struct{}{}
	return ctx, wait
}

func (w *pendingWait) end() {
	w.server.mu.Lock()
	delete(w.server.waits, w)
	w.server.mu.Unlock()
	w.cancel(nil)
}

// becameObsolete reports whether a wait was cancelled because the server is closed or the term has ended.
func becameObsolete(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errObsolete) }

// CancelObsolete stores the serving state and cancels the waits for closed servers and ended terms.
func (w *WaitRegistry) CancelObsolete(state ServingState) {
	w.state.Store(&state)
	w.servers.Range(func(server, value any) bool {
		value.(*serverWaits).cancelObsolete(state, state.ServerClosed(server.(group.Server)))
		return true
	})
}

func (s *serverWaits) cancelObsolete(state ServingState, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for wait := range s.waits {
		if closed || state.TermEnded(wait.id, wait.term) {
			wait.cancel(errObsolete)
		}
	}
}

// isObsolete reports whether a wait for the opening's server would be cancelled.
func (w *WaitRegistry) isObsolete(opening *protocol.Forward) bool {
	state := w.state.Load()
	return state != nil && ((*state).ServerClosed(opening.Server) || (*state).TermEnded(opening.Group, opening.Term))
}
