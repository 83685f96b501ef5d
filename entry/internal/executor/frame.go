package executor

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// tag names a frame of a forwarded transaction.
type tag byte

// The frames behind the opening of a forwarded transaction.
const (
	// tagBatch carries a batch to the home.
	tagBatch tag = 'b'
	// tagCancel asks the home to cancel the batch with a number.
	tagCancel tag = 'x'
	// tagOpened tells that the home has a connection for the transaction.
	tagOpened tag = 'o'
	// tagSettled tells that a batch was sent and that its answer follows.
	tagSettled tag = 's'
	// tagPosition carries the newest status of the server's member.
	tagPosition tag = 'q'
	// tagPart carries a part of an answer.
	tagPart tag = 'p'
	// tagFailed carries a failure; nothing follows.
	tagFailed tag = 'f'
)

// frameHeaderBytes is the tag, a batch's number and the length of the body.
const frameHeaderBytes = 1 + 4 + 4

// maxForwardBytes bounds one frame.
const maxForwardBytes = 64 << 20

// frameHeader begins each frame.
type frameHeader struct {
	tag tag
	// batch numbers the batches of a transaction from 1.
	batch uint32
	size  int
}

func appendFrame(dst []byte, t tag, batch uint32, size int) []byte {
	dst = append(dst, byte(t))
	dst = binary.BigEndian.AppendUint32(dst, batch)
	return binary.BigEndian.AppendUint32(dst, uint32(size))
}

func readFrame(r *bufio.Reader) (frameHeader, error) {
	header, err := r.Peek(frameHeaderBytes)
	if err != nil {
		return frameHeader{}, err
	}
	h := frameHeader{
		tag: tag(header[0]), batch: binary.BigEndian.Uint32(header[1:]), size: int(binary.BigEndian.Uint32(header[5:])),
	}
	_, _ = r.Discard(frameHeaderBytes)
	if h.size > maxForwardBytes {
		return h, fmt.Errorf("executor: frame of %d bytes", h.size)
	}
	return h, nil
}

// The bits of an event.
const (
	flagDone byte = 1 << iota
	flagMore
	flagCommitted
	flagRolledBack
	flagWrote
)

// The layout of an event: kind, flags, block and SQLSTATE.
const (
	stateBytes = 5
	eventBytes = 3 + stateBytes
)

func appendEvent(dst []byte, e AnswerPart) []byte {
	var flags byte
	for _, f := range [...]struct {
		set  bool
		flag byte
	}{
		{e.Done, flagDone}, {e.More, flagMore}, {e.Committed, flagCommitted}, {e.RolledBack, flagRolledBack}, {e.Wrote, flagWrote},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	var state [stateBytes]byte
	copy(state[:], e.SQLState)
	return append(append(dst, byte(e.Kind), flags, e.TxStatus), state[:]...)
}

func parseEvent(data []byte) AnswerPart {
	flags := data[1]
	e := AnswerPart{
		Kind: relay.Kind(data[0]), TxStatus: data[2],
		Done: flags&flagDone != 0, More: flags&flagMore != 0,
		Committed: flags&flagCommitted != 0, RolledBack: flags&flagRolledBack != 0, Wrote: flags&flagWrote != 0,
	}
	if data[3] != 0 {
		e.SQLState = outcome.SQLState(data[3:eventBytes])
	}
	return e
}

// failureBody is a failure as it travels.
type failureBody struct {
	State   outcome.SQLState `cbor:"1,keyasint"`
	Reason  outcome.Reason   `cbor:"2,keyasint"`
	Message string           `cbor:"3,keyasint"`
	Hint    string           `cbor:"4,keyasint"`
}

func appendFailure(dst []byte, batch uint32, f *outcome.Failure) []byte {
	body, err := protocol.Encode(failureBody{State: f.SQLState, Reason: f.Reason, Message: f.Message, Hint: f.Hint})
	if err != nil {
		panic("executor: a failure cannot be encoded: " + err.Error())
	}
	return append(appendFrame(dst, tagFailed, batch, len(body)), body...)
}

// readFailure reads the failure that a home reported.
func readFailure(r io.Reader, size int) error {
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	var body failureBody
	if err := protocol.Decode(data, &body); err != nil {
		return err
	}
	return &outcome.Failure{SQLState: body.State, Reason: body.Reason, Message: body.Message, Hint: body.Hint}
}

// positionBody is a status as it travels.
type positionBody struct {
	Status group.Status `cbor:"1,keyasint"`
}
