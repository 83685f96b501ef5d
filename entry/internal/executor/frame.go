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

// frameTag is the type byte of a frame on the stream of a forwarded transaction.
type frameTag byte

// Frames that follow the opening of a forwarded transaction.
const (
	// tagBatch carries a batch to the home.
	tagBatch frameTag = 'b'
	// tagCancel asks the home to cancel the numbered batch.
	tagCancel frameTag = 'x'
	// tagOpened reports that the home has a connection for the transaction.
	tagOpened frameTag = 'o'
	// tagSent reports that a batch was sent to the database and that its answer follows.
	tagSent frameTag = 's'
	// tagStatus carries the newest status of the server's member.
	tagStatus frameTag = 'q'
	// tagPart carries a part of an answer.
	tagPart frameTag = 'p'
	// tagFailed carries a failure and ends the stream.
	tagFailed frameTag = 'f'
)

// frameHeaderBytes is the size of the tag, the batch number and the length of the body.
const frameHeaderBytes = 1 + 4 + 4

// maxFrameBytes bounds the body of one frame.
const maxFrameBytes = 64 << 20

// frameHeader precedes the body of each frame.
type frameHeader struct {
	tag frameTag
	// batch is the number of the batch within the transaction, starting at 1.
	batch uint32
	size  int
}

func appendFrameHeader(dst []byte, t frameTag, batch uint32, size int) []byte {
	dst = append(dst, byte(t))
	dst = binary.BigEndian.AppendUint32(dst, batch)
	return binary.BigEndian.AppendUint32(dst, uint32(size))
}

func readFrameHeader(r *bufio.Reader) (frameHeader, error) {
	header, err := r.Peek(frameHeaderBytes)
	if err != nil {
		return frameHeader{}, err
	}
	h := frameHeader{
		tag: frameTag(header[0]), batch: binary.BigEndian.Uint32(header[1:]), size: int(binary.BigEndian.Uint32(header[5:])),
	}
	_, _ = r.Discard(frameHeaderBytes)
	if h.size > maxFrameBytes {
		return h, fmt.Errorf("executor: frame of %d bytes exceeds the limit", h.size)
	}
	return h, nil
}

// Flags in the header of an answer part.
const (
	flagDone byte = 1 << iota
	flagMore
	flagCommitted
	flagRolledBack
	flagWrote
)

// Header of an answer part: kind, flags, transaction status and SQLSTATE.
const (
	sqlStateBytes   = 5
	partHeaderBytes = 3 + sqlStateBytes
)

func appendPartHeader(dst []byte, p AnswerPart) []byte {
	var flags byte
	for _, f := range [...]struct {
		set  bool
		flag byte
	}{
		{p.Done, flagDone}, {p.More, flagMore}, {p.Committed, flagCommitted}, {p.RolledBack, flagRolledBack}, {p.Wrote, flagWrote},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	var sqlState [sqlStateBytes]byte
	copy(sqlState[:], p.SQLState)
	return append(append(dst, byte(p.Kind), flags, p.TxStatus), sqlState[:]...)
}

func parsePartHeader(data []byte) AnswerPart {
	flags := data[1]
	p := AnswerPart{
		Kind: relay.Kind(data[0]), TxStatus: data[2],
		Done: flags&flagDone != 0, More: flags&flagMore != 0,
		Committed: flags&flagCommitted != 0, RolledBack: flags&flagRolledBack != 0, Wrote: flags&flagWrote != 0,
	}
	if data[3] != 0 {
		p.SQLState = outcome.SQLState(data[3:partHeaderBytes])
	}
	return p
}

// failureBody is the encoded form of a failure.
type failureBody struct {
	SQLState outcome.SQLState `cbor:"1,keyasint"`
	Reason   outcome.Reason   `cbor:"2,keyasint"`
	Message  string           `cbor:"3,keyasint"`
	Hint     string           `cbor:"4,keyasint"`
}

func appendFailure(dst []byte, batch uint32, f *outcome.Failure) []byte {
	body, err := protocol.Encode(failureBody{SQLState: f.SQLState, Reason: f.Reason, Message: f.Message, Hint: f.Hint})
	if err != nil {
		panic("executor: encoding a failure: " + err.Error())
	}
	return append(appendFrameHeader(dst, tagFailed, batch, len(body)), body...)
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
	return &outcome.Failure{SQLState: body.SQLState, Reason: body.Reason, Message: body.Message, Hint: body.Hint}
}

// statusBody is the encoded form of a status.
type statusBody struct {
	Status group.Status `cbor:"1,keyasint"`
}
