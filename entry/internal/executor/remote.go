package executor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// forwardGrace is added to the timeouts of the home, so that the home's own timeout is reported first.
const forwardGrace = time.Second

const streamBufferBytes = 16 << 10

// Remote forwards transactions to other entries that are homes of the database.
type Remote struct {
	link         *link.Endpoint
	waitRegistry *WaitRegistry
}

// NewRemote returns an executor that forwards over an endpoint.
func NewRemote(endpoint *link.Endpoint, waitRegistry *WaitRegistry) *Remote {
	return &Remote{link: endpoint, waitRegistry: waitRegistry}
}

// Open opens a transaction at a home. For a write it waits until the home has a connection, so that no write is lost with a home.
func (r *Remote) Open(ctx context.Context, home netip.AddrPort, opening *protocol.Forward) (Transaction, error) {
	ctx, w := r.waitRegistry.begin(ctx, opening)
	defer w.end()
	t, err := r.open(ctx, home, opening)
	if err != nil && becameObsolete(ctx) {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errObsolete)
	}
	if err != nil {
		return nil, err
	}
	return t, nil
}

func (r *Remote) open(ctx context.Context, home netip.AddrPort, opening *protocol.Forward) (*forwardedTransaction, error) {
	openCtx, cancel := context.WithTimeout(ctx, opening.QueueTimeout)
	defer cancel()
	stream, err := r.link.Open(openCtx, home, protocol.KindTransaction, opening)
	if err != nil {
		return nil, outcome.ForReason(outcome.ReasonHome, err)
	}
	t := &forwardedTransaction{stream: stream, r: bufio.NewReaderSize(stream, streamBufferBytes), waitRegistry: r.waitRegistry, opening: *opening}
	if opening.Access == inventory.AccessRead {
		return t, nil
	}
	_ = stream.SetReadDeadline(time.Now().Add(opening.QueueTimeout + forwardGrace))
	if err := t.awaitOrCancel(ctx, tagOpened); err != nil {
		t.Close()
		var failure *outcome.Failure
		if errors.As(err, &failure) {
			return nil, failure
		}
		return nil, outcome.ForReason(outcome.ReasonHome, err)
	}
	t.opened = true
	return t, nil
}

// forwardedTransaction is a transaction that runs at a home.
type forwardedTransaction struct {
	stream       *link.Stream
	r            *bufio.Reader
	waitRegistry *WaitRegistry
	opening      protocol.Forward
	opened       bool

	status ReportedStatus
	sentAt time.Time
	out    []byte

	mu      sync.Mutex
	batch   uint32
	running bool
}

// awaitFrame reads frames until one with the wanted tag arrives.
func (t *forwardedTransaction) awaitFrame(want frameTag) error {
	for {
		h, err := readFrameHeader(t.r)
		if err != nil {
			return err
		}
		if h.tag == want {
			return nil
		}
		if err := t.handleFrame(h); err != nil {
			return err
		}
	}
}

// awaitOrCancel is awaitFrame with a context.
func (t *forwardedTransaction) awaitOrCancel(ctx context.Context, want frameTag) error {
	stop := context.AfterFunc(ctx, func() { t.stream.CancelRead(0) })
	err := t.awaitFrame(want)
	if !stop() && err == nil {
		return errObsolete
	}
	return err
}

// awaitSent waits until the home has sent the batch. Until the home has a connection, the wait also ends when the server is closed
// or its term has ended.
func (t *forwardedTransaction) awaitSent() error {
	if t.opened {
		return t.awaitFrame(tagSent)
	}
	ctx, w := t.waitRegistry.begin(context.Background(), &t.opening)
	defer w.end()
	return t.awaitOrCancel(ctx, tagSent)
}

// handleFrame handles a frame that is not part of an answer.
func (t *forwardedTransaction) handleFrame(h frameHeader) error {
	switch h.tag {
	case tagOpened, tagSent:
		return nil
	case tagStatus:
		return t.readStatus(h.size)
	case tagFailed:
		return readFailure(t.r, h.size)
	}
	return relay.ErrMalformedMessage
}

func (t *forwardedTransaction) readStatus(size int) error {
	data := make([]byte, size)
	if _, err := io.ReadFull(t.r, data); err != nil {
		return err
	}
	var body statusBody
	if err := protocol.Decode(data, &body); err != nil {
		return err
	}
	t.status = ReportedStatus{Status: body.Status, SentAt: t.sentAt}
	return nil
}

// Send forwards a batch and waits until the home has sent it and made the checks of Send.
func (t *forwardedTransaction) Send(batch []byte) error {
	t.sentAt = time.Now()
	t.out = appendFrameHeader(t.out[:0], tagBatch, t.startBatch(), len(batch))
	t.out = append(t.out, batch...)
	limit := t.opening.AnswerTimeout
	if !t.opened {
		limit += t.opening.QueueTimeout
	}
	_ = t.stream.SetDeadline(t.sentAt.Add(limit + forwardGrace))
	if _, err := t.stream.Write(t.out); err != nil {
		return t.answerFailure(err)
	}
	if err := t.awaitSent(); err != nil {
		return t.answerFailure(err)
	}
	t.opened = true
	return nil
}

func (t *forwardedTransaction) startBatch() uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.batch++
	t.running = true
	return t.batch
}

// answerFailure returns the failure of a batch after an error. A failure that the home reported takes precedence.
func (t *forwardedTransaction) answerFailure(err error) error {
	var homeFailure *outcome.Failure
	if errors.As(err, &homeFailure) {
		return homeFailure
	}
	if isTimeout(err) {
		return outcome.ForReason(outcome.ReasonAnswerTime, err)
	}
	return outcome.ForReason(outcome.ReasonAnswerLost, err)
}

// Next appends the next part of the answer.
func (t *forwardedTransaction) Next(dst []byte) ([]byte, AnswerPart, error) {
	for {
		h, err := readFrameHeader(t.r)
		if err != nil {
			return dst, AnswerPart{}, t.answerFailure(err)
		}
		if h.tag != tagPart {
			if err := t.handleFrame(h); err != nil {
				return dst, AnswerPart{}, t.answerFailure(err)
			}
			continue
		}
		if h.size < partHeaderBytes {
			return dst, AnswerPart{}, t.answerFailure(relay.ErrMalformedMessage)
		}
		return t.readPart(dst, h)
	}
}

func (t *forwardedTransaction) readPart(dst []byte, h frameHeader) ([]byte, AnswerPart, error) {
	data, err := t.r.Peek(partHeaderBytes)
	if err != nil {
		return dst, AnswerPart{}, t.answerFailure(err)
	}
	part := parsePartHeader(data)
	_, _ = t.r.Discard(partHeaderBytes)
	if dst, err = relay.AppendBody(dst, t.r, h.size-partHeaderBytes); err != nil {
		return dst, AnswerPart{}, t.answerFailure(err)
	}
	if part.Done {
		t.mu.Lock()
		t.running = false
		t.mu.Unlock()
	}
	return dst, part, nil
}

// LastStatus returns the newest status that the home relayed.
func (t *forwardedTransaction) LastStatus() ReportedStatus { return t.status }

// Cancel asks the home to cancel the running batch.
func (t *forwardedTransaction) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		_, _ = t.stream.Write(appendFrameHeader(nil, tagCancel, t.batch, 0))
	}
}

// Close ends the transaction. The home rolls back an open transaction block.
func (t *forwardedTransaction) Close() {
	_ = t.stream.Close()
	t.stream.CancelRead(0)
}
