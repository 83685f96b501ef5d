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

// forwardGrace is added to what the home itself waits, so that the home's answer comes first.
const forwardGrace = time.Second

const streamBufferBytes = 16 << 10

// Remote forwards transactions to the pool homes of other entries.
type Remote struct {
	link  *link.Endpoint
	waits *WaitRegistry
}

// NewRemote returns an executor that forwards over an endpoint.
func NewRemote(endpoint *link.Endpoint, waits *WaitRegistry) *Remote {
	return &Remote{link: endpoint, waits: waits}
}

// Open opens a transaction at a home; a write waits until the home has a connection, so that a lost home loses no write.
func (r *Remote) Open(ctx context.Context, home netip.AddrPort, opening *protocol.Forward) (Transaction, error) {
	ctx, w := r.waits.begin(ctx, opening)
	defer w.end()
	t, err := r.open(ctx, home, opening)
	if err != nil && ended(ctx) {
		return nil, outcome.ForReason(outcome.ReasonNoServer, errOver)
	}
	if err != nil {
		return nil, err
	}
	return t, nil
}

func (r *Remote) open(ctx context.Context, home netip.AddrPort, opening *protocol.Forward) (*forwarded, error) {
	limited, cancel := context.WithTimeout(ctx, opening.QueueFor)
	defer cancel()
	stream, err := r.link.Open(limited, home, protocol.KindTransaction, opening)
	if err != nil {
		return nil, outcome.ForReason(outcome.ReasonHome, err)
	}
	t := &forwarded{stream: stream, r: bufio.NewReaderSize(stream, streamBufferBytes), waits: r.waits, opening: *opening}
	if opening.Access == inventory.AccessRead {
		return t, nil
	}
	_ = stream.SetReadDeadline(time.Now().Add(opening.QueueFor + forwardGrace))
	if err := t.awaitUnless(ctx, tagOpened); err != nil {
		t.Close()
		var refused *outcome.Failure
		if errors.As(err, &refused) {
			return nil, refused
		}
		return nil, outcome.ForReason(outcome.ReasonHome, err)
	}
	t.opened = true
	return t, nil
}

// forwarded is a transaction at a home.
type forwarded struct {
	stream  *link.Stream
	r       *bufio.Reader
	waits   *WaitRegistry
	opening protocol.Forward
	opened  bool

	position ReportedStatus
	sent     time.Time
	out      []byte

	mu      sync.Mutex
	batch   uint32
	running bool
}

// await reads frames up to the wanted one.
func (t *forwarded) await(want tag) error {
	for {
		h, err := readFrame(t.r)
		if err != nil {
			return err
		}
		if h.tag == want {
			return nil
		}
		if err := t.aside(h); err != nil {
			return err
		}
	}
}

// awaitUnless is await that ends with a context.
func (t *forwarded) awaitUnless(ctx context.Context, want tag) error {
	stop := context.AfterFunc(ctx, func() { t.stream.CancelRead(0) })
	err := t.await(want)
	if !stop() && err == nil {
		return errOver
	}
	return err
}

// awaitSettled waits for the home; before the home has a connection, the wait ends with the server or the term.
func (t *forwarded) awaitSettled() error {
	if t.opened {
		return t.await(tagSettled)
	}
	ctx, w := t.waits.begin(context.Background(), &t.opening)
	defer w.end()
	return t.awaitUnless(ctx, tagSettled)
}

// aside takes in a frame that is no part of an answer.
func (t *forwarded) aside(h frameHeader) error {
	switch h.tag {
	case tagOpened, tagSettled:
		return nil
	case tagPosition:
		return t.takePosition(h.size)
	case tagFailed:
		return readFailure(t.r, h.size)
	}
	return relay.ErrMalformedMessage
}

func (t *forwarded) takePosition(size int) error {
	data := make([]byte, size)
	if _, err := io.ReadFull(t.r, data); err != nil {
		return err
	}
	var body positionBody
	if err := protocol.Decode(data, &body); err != nil {
		return err
	}
	t.position = ReportedStatus{Status: body.Status, SentAt: t.sent}
	return nil
}

// Send forwards a batch and waits until the home has sent it and checked what Send must check.
func (t *forwarded) Send(batch []byte) error {
	t.sent = time.Now()
	t.out = appendFrame(t.out[:0], tagBatch, t.start(), len(batch))
	t.out = append(t.out, batch...)
	limit := t.opening.AnswerFor
	if !t.opened {
		limit += t.opening.QueueFor
	}
	_ = t.stream.SetDeadline(t.sent.Add(limit + forwardGrace))
	if _, err := t.stream.Write(t.out); err != nil {
		return t.lost(err)
	}
	if err := t.awaitSettled(); err != nil {
		return t.lost(err)
	}
	t.opened = true
	return nil
}

func (t *forwarded) start() uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.batch++
	t.running = true
	return t.batch
}

// lost is the outcome of a batch after an error; a home that reports a failure knows better than the stream.
func (t *forwarded) lost(err error) error {
	var reported *outcome.Failure
	if errors.As(err, &reported) {
		return reported
	}
	if isTimeout(err) {
		return outcome.ForReason(outcome.ReasonAnswerTime, err)
	}
	return outcome.ForReason(outcome.ReasonAnswerLost, err)
}

// Next appends the next part of the answer.
func (t *forwarded) Next(dst []byte) ([]byte, AnswerPart, error) {
	for {
		h, err := readFrame(t.r)
		if err != nil {
			return dst, AnswerPart{}, t.lost(err)
		}
		if h.tag != tagPart {
			if err := t.aside(h); err != nil {
				return dst, AnswerPart{}, t.lost(err)
			}
			continue
		}
		if h.size < eventBytes {
			return dst, AnswerPart{}, t.lost(relay.ErrMalformedMessage)
		}
		return t.part(dst, h)
	}
}

func (t *forwarded) part(dst []byte, h frameHeader) ([]byte, AnswerPart, error) {
	data, err := t.r.Peek(eventBytes)
	if err != nil {
		return dst, AnswerPart{}, t.lost(err)
	}
	event := parseEvent(data)
	_, _ = t.r.Discard(eventBytes)
	if dst, err = relay.AppendBody(dst, t.r, h.size-eventBytes); err != nil {
		return dst, AnswerPart{}, t.lost(err)
	}
	if event.Done {
		t.mu.Lock()
		t.running = false
		t.mu.Unlock()
	}
	return dst, event, nil
}

// LastStatus returns the newest status that the home passed on.
func (t *forwarded) LastStatus() ReportedStatus { return t.position }

// Cancel asks the home to cancel the batch that runs now.
func (t *forwarded) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		_, _ = t.stream.Write(appendFrame(nil, tagCancel, t.batch, 0))
	}
}

// Close ends the transaction; the home rolls back what is open.
func (t *forwarded) Close() {
	_ = t.stream.Close()
	t.stream.CancelRead(0)
}
