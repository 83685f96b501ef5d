package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"lentilwind.dev/lentilwind/hlc"
	"lentilwind.dev/lentilwind/inventory"
)

// Version is the protocol version of this build.
const Version = 1

// MaxFrameBytes bounds the size of an encoded frame.
const MaxFrameBytes = 4 << 20

// lengthBytes is the size of the length prefix of a frame.
const lengthBytes = 4

// Kind names a type of message.
type Kind string

// The kinds of messages.
const (
	// KindJournal carries one journal message between control processes; it has no reply.
	KindJournal Kind = "journal"
	// KindMember asks a control process for its identity as a member of the journal.
	KindMember Kind = "member"
	// KindRenew asks the control leader for configuration leases and configuration changes.
	KindRenew Kind = "renew"
	// KindDraw asks the control leader for permission to run requests, deducted from workspaces' quotas.
	KindDraw Kind = "draw"
	// KindGroupDraw asks the keeper of a data centre that is cut off for permission to run requests.
	KindGroupDraw Kind = "groupDraw"
	// KindBudget asks the control leader for shares of the databases' connection limits.
	KindBudget Kind = "budget"
	// KindAnnounce forwards a backend server's announcement to the control leader.
	KindAnnounce Kind = "announce"
	// KindObserve asks a home entry for the status of its databases.
	KindObserve Kind = "observe"
	// KindTransaction opens a stream that forwards one transaction to a home entry.
	KindTransaction Kind = "transaction"
)

// Incarnation identifies one run of a process; it increases with every start.
type Incarnation uint64

// RequestID matches a reply to its request within one incarnation of the sender.
type RequestID uint64

// Frame is the envelope of one message on the wire.
type Frame struct {
	Version     uint8                  `cbor:"1,keyasint"`
	Kind        Kind                   `cbor:"2,keyasint"`
	Sender      inventory.InstanceName `cbor:"3,keyasint"`
	Incarnation Incarnation            `cbor:"4,keyasint"`
	ID          RequestID              `cbor:"5,keyasint"`
	// Clock is the sender's hybrid logical clock at the time of sending.
	Clock   hlc.Timestamp   `cbor:"6,keyasint"`
	Body    cbor.RawMessage `cbor:"7,keyasint,omitempty"`
	Refusal *Refusal        `cbor:"8,keyasint,omitempty"`
}

// ErrMalformedFrame is wrapped by every error about a malformed frame.
var ErrMalformedFrame = errors.New("protocol: malformed frame")

// ErrFrameTooLarge means that a frame exceeds MaxFrameBytes; nothing of it was written.
var ErrFrameTooLarge = errors.New("protocol: the frame is too large")

// decMode accepts any bytes in texts, as the encoder does: callers' statements and the names that databases announce are passed on as they are.
var decMode = mustDecMode(cbor.DecOptions{
	UTF8:             cbor.UTF8DecodeInvalid,
	MaxNestedLevels:  32,
	MaxArrayElements: 1 << 20,
	MaxMapPairs:      1 << 20,
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
})

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a message body as CBOR.
func Encode(body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("protocol: encode %T: %w", body, err)
	}
	return data, nil
}

// EncodeStored encodes a body that is read back later, such as an entry of a journal, and returns an error if Decode would refuse it.
func EncodeStored[T any](body T) ([]byte, error) {
	data, err := Encode(body)
	if err != nil {
		return nil, err
	}
	if err := Decode(data, new(T)); err != nil {
		return nil, fmt.Errorf("protocol: %T cannot be read back: %w", body, err)
	}
	return data, nil
}

// Decode decodes a message body from CBOR.
func Decode(data []byte, body any) error {
	if err := decMode.Unmarshal(data, body); err != nil {
		return fmt.Errorf("%w: body %T: %w", ErrMalformedFrame, body, err)
	}
	return nil
}

// WriteFrame writes a frame, preceded by its length as four big-endian bytes.
func WriteFrame(w io.Writer, frame Frame) error {
	payload, err := Encode(frame)
	if err != nil {
		return err
	}
	if len(payload) > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes to write", ErrFrameTooLarge, len(payload))
	}
	buf := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(buf, uint32(len(payload)))
	_, err = w.Write(append(buf, payload...))
	return err
}

// ReadFrame reads one frame and checks its size and version.
func ReadFrame(r io.Reader) (Frame, error) {
	size, err := ReadFrameSize(r)
	if err != nil {
		return Frame{}, err
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return Frame{}, err
	}
	return DecodeFrame(payload)
}

// ReadFrameSize reads the length of a frame, in bytes, and checks it. The payload of that length follows.
func ReadFrameSize(r io.Reader) (int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return 0, fmt.Errorf("%w: %d bytes announced", ErrMalformedFrame, size)
	}
	return int(size), nil
}

// DecodeFrame decodes the payload of a frame and checks its version.
func DecodeFrame(payload []byte) (Frame, error) {
	var frame Frame
	if err := Decode(payload, &frame); err != nil {
		return Frame{}, err
	}
	if frame.Version != Version {
		return Frame{}, fmt.Errorf("%w: version %d, this build speaks %d", ErrMalformedFrame, frame.Version, Version)
	}
	return frame, nil
}
