package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

var errOver = errors.New("executor: the server or its term is over")

// ServingState tells what an entry knows of the servers that transactions wait for.
type ServingState interface {
	// TermEnded tells that a newer term of the group has begun.
	TermEnded(id group.ID, term group.Term) bool
	// ServerClosed tells that a server gets no new work.
	ServerClosed(server group.Server) bool
}

// WaitRegistry knows the transactions that wait for a connection, so that none waits for a server that can no longer serve it.
type WaitRegistry struct {
	servers sync.Map
	latest  atomic.Pointer[ServingState]
}

// serverWaits is the waits for one server.
type serverWaits struct {
	mu    sync.Mutex
	waits map[*wait]struct{}
}

// wait is one wait before anything of a transaction was sent.
type wait struct {
	all    *serverWaits
	id     group.ID
	term   group.Term
	cancel context.CancelCauseFunc
}

// NewWaitRegistry returns waits that know of nothing that is over.
func NewWaitRegistry() *WaitRegistry { return &WaitRegistry{} }

// begin returns a context that ends with the server or the term of the opening; the wait must be ended.
func (w *WaitRegistry) begin(ctx context.Context, opening *protocol.Forward) (context.Context, *wait) {
	ctx, cancel := context.WithCancelCause(ctx)
	found, ok := w.servers.Load(opening.Server)
	if !ok {
		found, _ = w.servers.LoadOrStore(opening.Server, &serverWaits{waits: make(map[*wait]struct{})})
	}
	one := &wait{all: found.(*serverWaits), id: opening.Group, term: opening.Term, cancel: cancel}
	one.all.mu.Lock()
	defer one.all.mu.Unlock()
	one.all.waits[one] = struct{}{}
	return ctx, one
}

func (w *wait) end() {
	w.all.mu.Lock()
	delete(w.all.waits, w)
	w.all.mu.Unlock()
	w.cancel(nil)
}

// ended tells that a wait's context ended with the server or the term.
func ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errOver) }

// CancelObsolete ends the waits for servers and terms that are over.
func (w *WaitRegistry) CancelObsolete(over ServingState) {
	w.latest.Store(&over)
	w.servers.Range(func(server, found any) bool {
		found.(*serverWaits).end(over, over.ServerClosed(server.(group.Server)))
		return true
	})
}

func (s *serverWaits) end(over ServingState, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for one := range s.waits {
		if closed || over.TermEnded(one.id, one.term) {
			one.cancel(errOver)
		}
	}
}

// over tells whether a wait for the opening's server would be ended.
func (w *WaitRegistry) over(opening *protocol.Forward) bool {
	latest := w.latest.Load()
	return latest != nil && ((*latest).ServerClosed(opening.Server) || (*latest).TermEnded(opening.Group, opening.Term))
}
