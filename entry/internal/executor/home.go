package executor

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/protocol"
)

// flushBytes is how much of an answer a home collects before it writes.
const flushBytes = 32 << 10

// ForwardServer runs the transactions that other entries forward.
type ForwardServer struct {
	local    Executor
	running  atomic.Int64
	draining atomic.Bool
}

// NewForwardServer returns a home over the entry's own connections.
func NewForwardServer(local Executor) *ForwardServer { return &ForwardServer{local: local} }

// Running returns the number of forwarded transactions.
func (h *ForwardServer) Running() int { return int(h.running.Load()) }

// Drain refuses new transactions; those that run go on.
func (h *ForwardServer) Drain() { h.draining.Store(true) }

// ServeStream runs one forwarded transaction.
func (h *ForwardServer) ServeStream(ctx context.Context, peer identity.Peer, opening protocol.Frame, stream *link.Stream) {
	h.running.Add(1)
	defer h.running.Add(-1)
	defer func() {
		_ = stream.Close()
		stream.CancelRead(0)
	}()
	v := &visit{stream: stream, r: bufio.NewReaderSize(stream, streamBufferBytes)}
	if err := protocol.Decode(opening.Body, &v.opening); err != nil || peer.Role != identity.RoleEntry {
		v.fail(outcome.ForReason(outcome.ReasonHome, err))
		return
	}
	if h.draining.Load() {
		v.fail(outcome.ForReason(outcome.ReasonHome, nil))
		return
	}
	tx, err := h.local.Open(ctx, &v.opening)
	if errors.Is(err, errNoPool) {
		// Another home may have a budget for the server.
		err = outcome.ForReason(outcome.ReasonHome, err)
	}
	if err != nil {
		v.fail(outcome.FromError(err))
		return
	}
	v.tx = tx
	defer v.close()
	v.out = appendFrame(v.out[:0], tagOpened, 0, 0)
	if v.flush() != nil {
		return
	}
	v.serve()
}

// visit is one forwarded transaction at its home.
type visit struct {
	stream  *link.Stream
	r       *bufio.Reader
	opening protocol.Forward
	out     []byte
	batch   []byte
	last    ReportedStatus

	mu     sync.Mutex
	tx     Transaction
	number uint32
}

// close gives the connection back.
func (v *visit) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.tx != nil {
		v.tx.Close()
		v.tx = nil
	}
}

func (v *visit) fail(f *outcome.Failure) {
	v.out = appendFailure(v.out[:0], v.number, f)
	_ = v.flush()
}

func (v *visit) flush() error {
	_ = v.stream.SetWriteDeadline(time.Now().Add(v.opening.AnswerFor + forwardGrace))
	_, err := v.stream.Write(v.out)
	v.out = v.out[:0]
	return err
}

// received is one batch, or the end of the stream.
type received struct {
	number uint32
	err    error
}

// serve runs batches until the transaction is over.
func (v *visit) serve() {
	batches := make(chan received)
	read := make(chan struct{}, 1)
	done := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { v.readFrames(batches, read, done) })
	defer reader.Wait()
	defer v.stream.CancelRead(0)
	defer close(done)
	for {
		idle := time.NewTimer(v.opening.IdleFor + forwardGrace)
		var next received
		select {
		case next = <-batches:
		case <-idle.C:
			next.err = context.DeadlineExceeded
		}
		idle.Stop()
		if next.err != nil || !v.run(next.number) {
			return
		}
		read <- struct{}{}
	}
}

// readFrames takes in batches and cancels; it reads no batch before the last one was answered.
func (v *visit) readFrames(batches chan<- received, read, done <-chan struct{}) {
	waiting := false
	for {
		h, err := readFrame(v.r)
		if err == nil && h.tag == tagCancel {
			v.cancel(h.batch)
			continue
		}
		if err == nil && h.tag != tagBatch {
			err = relay.ErrMalformedMessage
		}
		if err == nil && waiting {
			select {
			case <-read:
			case <-done:
				return
			}
		}
		if err == nil {
			v.batch, err = relay.AppendBody(v.batch[:0], v.r, h.size)
		}
		select {
		case batches <- received{number: h.batch, err: err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
		waiting = true
	}
}

// cancel ends the batch with the number if it is the one that runs.
func (v *visit) cancel(number uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.tx != nil && v.number == number {
		v.tx.Cancel()
	}
}

// run sends one batch and relays its answer; false means that the transaction is over.
func (v *visit) run(number uint32) bool {
	v.mu.Lock()
	v.number = number
	v.mu.Unlock()
	if err := v.tx.Send(v.batch); err != nil {
		v.fail(outcome.FromError(err))
		return false
	}
	v.appendPosition()
	v.out = appendFrame(v.out, tagSettled, number, 0)
	block := TxStatusInBlock
	for {
		event, err := v.relayPart(number)
		if err != nil {
			return false
		}
		if event.Kind == relay.KindReadyForQuery {
			block = event.TxStatus
		}
		if event.Done {
			break
		}
	}
	if block == TxStatusIdle {
		// The connection is free before the sender has taken the answer.
		v.close()
	}
	return v.flush() == nil && block != TxStatusIdle
}

func (v *visit) relayPart(number uint32) (AnswerPart, error) {
	start := len(v.out)
	v.out = appendFrame(v.out, tagPart, number, 0)
	v.out = append(v.out, make([]byte, eventBytes)...)
	out, event, err := v.tx.Next(v.out)
	if err != nil {
		v.out = appendFailure(v.out[:start], number, outcome.FromError(err))
		_ = v.flush()
		return event, err
	}
	v.out = out
	appendFrame(v.out[:start], tagPart, number, len(out)-start-frameHeaderBytes)
	appendEvent(v.out[:start+frameHeaderBytes], event)
	if event.Kind == relay.KindReadyForQuery {
		v.appendPosition()
	}
	if len(v.out) < flushBytes {
		return event, nil
	}
	return event, v.flush()
}

// appendPosition passes on a status that is newer than the last one.
func (v *visit) appendPosition() {
	position := v.tx.LastStatus()
	if position == v.last {
		return
	}
	v.last = position
	body, err := protocol.Encode(positionBody{Status: position.Status})
	if err != nil {
		panic("executor: a status cannot be encoded: " + err.Error())
	}
	v.out = append(appendFrame(v.out, tagPosition, v.number, len(body)), body...)
}
