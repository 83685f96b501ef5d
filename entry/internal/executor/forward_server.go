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

// flushBytes is how much of an answer is buffered before it is written to the stream.
const flushBytes = 32 << 10

// ForwardServer runs the transactions that other entries forward to this home.
type ForwardServer struct {
	local    Executor
	running  atomic.Int64
	draining atomic.Bool
}

// NewForwardServer returns a server that runs transactions on the given executor.
func NewForwardServer(local Executor) *ForwardServer { return &ForwardServer{local: local} }

// Running returns the number of forwarded transactions in progress.
func (f *ForwardServer) Running() int { return int(f.running.Load()) }

// Drain makes the server refuse new transactions. Running ones continue.
func (f *ForwardServer) Drain() { f.draining.Store(true) }

// ServeStream runs one forwarded transaction.
func (f *ForwardServer) ServeStream(ctx context.Context, peer identity.Peer, opening protocol.Frame, stream *link.Stream) {
	f.running.Add(1)
	defer f.running.Add(-1)
	defer func() {
		_ = stream.Close()
		stream.CancelRead(0)
	}()
	s := &servedTransaction{stream: stream, r: bufio.NewReaderSize(stream, streamBufferBytes)}
	if err := protocol.Decode(opening.Body, &s.opening); err != nil || peer.Role != identity.RoleEntry {
		s.fail(outcome.ForReason(outcome.ReasonHome, err))
		return
	}
	if f.draining.Load() {
		s.fail(outcome.ForReason(outcome.ReasonHome, nil))
		return
	}
	tx, err := f.local.Open(ctx, &s.opening)
	if errors.Is(err, errNoPool) {
		// Another home may have connections to the server, so the sender should try it.
		err = outcome.ForReason(outcome.ReasonHome, err)
	}
	if err != nil {
		s.fail(outcome.FromError(err))
		return
	}
	s.tx = tx
	defer s.close()
	s.out = appendFrameHeader(s.out[:0], tagOpened, 0, 0)
	if s.flush() != nil {
		return
	}
	s.serve()
}

// servedTransaction is a forwarded transaction on the side of the home.
type servedTransaction struct {
	stream     *link.Stream
	r          *bufio.Reader
	opening    protocol.Forward
	out        []byte
	batch      []byte
	lastStatus ReportedStatus

	mu sync.Mutex
	tx Transaction
	// number is that of the batch that is running or ran last.
	number uint32
}

// close returns the connection.
func (s *servedTransaction) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != nil {
		s.tx.Close()
		s.tx = nil
	}
}

func (s *servedTransaction) fail(f *outcome.Failure) {
	s.out = appendFailure(s.out[:0], s.number, f)
	_ = s.flush()
}

func (s *servedTransaction) flush() error {
	_ = s.stream.SetWriteDeadline(time.Now().Add(s.opening.AnswerTimeout + forwardGrace))
	_, err := s.stream.Write(s.out)
	s.out = s.out[:0]
	return err
}

// receivedBatch is the number of a batch, or the error that ended the stream.
type receivedBatch struct {
	number uint32
	err    error
}

// serve runs batches until the transaction is over.
func (s *servedTransaction) serve() {
	batches := make(chan receivedBatch)
	readNext := make(chan struct{}, 1)
	done := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { s.readFrames(batches, readNext, done) })
	defer reader.Wait()
	defer s.stream.CancelRead(0)
	defer close(done)
	for {
		idleTimer := time.NewTimer(s.opening.IdleTimeout + forwardGrace)
		var next receivedBatch
		select {
		case next = <-batches:
		case <-idleTimer.C:
			next.err = context.DeadlineExceeded
		}
		idleTimer.Stop()
		if next.err != nil || !s.run(next.number) {
			return
		}
		readNext <- struct{}{}
	}
}

// readFrames receives batches and cancellations. It reads a batch only after the previous one was answered.
func (s *servedTransaction) readFrames(batches chan<- receivedBatch, readNext, done <-chan struct{}) {
	batchPending := false
	for {
		h, err := readFrameHeader(s.r)
		if err == nil && h.tag == tagCancel {
			s.cancel(h.batch)
			continue
		}
		if err == nil && h.tag != tagBatch {
			err = relay.ErrMalformedMessage
		}
		if err == nil && batchPending {
			select {
			case <-readNext:
			case <-done:
				return
			}
		}
		if err == nil {
			s.batch, err = relay.AppendBody(s.batch[:0], s.r, h.size)
		}
		select {
		case batches <- receivedBatch{number: h.batch, err: err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
		batchPending = true
	}
}

// cancel cancels the batch with the number if it is still running.
func (s *servedTransaction) cancel(number uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != nil && s.number == number {
		s.tx.Cancel()
	}
}

// run sends one batch and relays its answer. It returns false when the transaction is over.
func (s *servedTransaction) run(number uint32) bool {
	s.mu.Lock()
	s.number = number
	s.mu.Unlock()
	if err := s.tx.Send(s.batch); err != nil {
		s.fail(outcome.FromError(err))
		return false
	}
	s.appendStatus()
	s.out = appendFrameHeader(s.out, tagSent, number, 0)
	txStatus := TxStatusInBlock
	for {
		part, err := s.relayPart(number)
		if err != nil {
			return false
		}
		if part.Kind == relay.KindReadyForQuery {
			txStatus = part.TxStatus
		}
		if part.Done {
			break
		}
	}
	if txStatus == TxStatusIdle {
		// Release the connection before the sender has read the whole answer.
		s.close()
	}
	return s.flush() == nil && txStatus != TxStatusIdle
}

func (s *servedTransaction) relayPart(number uint32) (AnswerPart, error) {
	start := len(s.out)
	s.out = appendFrameHeader(s.out, tagPart, number, 0)
	s.out = append(s.out, make([]byte, partHeaderBytes)...)
	out, part, err := s.tx.Next(s.out)
	if err != nil {
		s.out = appendFailure(s.out[:start], number, outcome.FromError(err))
		_ = s.flush()
		return part, err
	}
	s.out = out
	appendFrameHeader(s.out[:start], tagPart, number, len(out)-start-frameHeaderBytes)
	appendPartHeader(s.out[:start+frameHeaderBytes], part)
	if part.Kind == relay.KindReadyForQuery {
		s.appendStatus()
	}
	if len(s.out) < flushBytes {
		return part, nil
	}
	return part, s.flush()
}

// appendStatus appends the newest status if it has changed.
func (s *servedTransaction) appendStatus() {
	status := s.tx.LastStatus()
	if status == s.lastStatus {
		return
	}
	s.lastStatus = status
	body, err := protocol.Encode(statusBody{Status: status.Status})
	if err != nil {
		panic("executor: encoding a status: " + err.Error())
	}
	s.out = append(appendFrameHeader(s.out, tagStatus, s.number, len(body)), body...)
}
