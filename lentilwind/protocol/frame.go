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

// Version is the version of the protocol that this build speaks.
const Version = 1

// MaxFrameBytes bounds one encoded frame.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

// Kind names a type of message.
type Kind string

// The kinds of messages.
const (
	// KindJournal carries one journal message between control processes; it has no reply.
	KindJournal Kind = "journal"
	// KindMember asks a control process which member of the journal it is.
	KindMember Kind = "member"
	// KindRenew asks the control leader for configuration leases and for what has changed.
	KindRenew Kind = "renew"
	// KindDraw asks the control leader for requests out of workspaces' quotas.
	KindDraw Kind = "draw"
	// KindBudget asks the control leader for connections to databases.
	KindBudget Kind = "budget"
	// KindAnnounce passes a backend server's announcement on to the control leader.
	KindAnnounce Kind = "announce"
	// KindObserve asks a pool home for the status of one of its databases.
	KindObserve Kind = "observe"
	// KindTransaction opens a stream that carries one forwarded transaction to a pool home.
	KindTransaction Kind = "transaction"
)

// Incarnation tells two lives of one process apart; it rises with every start.
type Incarnation uint64

// RequestID pairs a reply with its request within one incarnation of the sender.
type RequestID uint64

// Frame is one message as it travels.
type Frame struct {
	Version     uint8                  `cbor:"1,keyasint"`
	Kind        Kind                   `cbor:"2,keyasint"`
	Sender      inventory.InstanceName `cbor:"3,keyasint"`
	Incarnation Incarnation            `cbor:"4,keyasint"`
	ID          RequestID              `cbor:"5,keyasint"`
	// Clock is the sender's hybrid time at sending.
	Clock   hlc.Timestamp   `cbor:"6,keyasint"`
	Body    cbor.RawMessage `cbor:"7,keyasint,omitempty"`
	Refusal *Refusal        `cbor:"8,keyasint,omitempty"`
}

// ErrMalformedFrame is wrapped by every error about a malformed frame.
var ErrMalformedFrame = errors.New("protocol: malformed frame")

var decoding = mustDecMode(cbor.DecOptions{
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

// Encode returns the CBOR form of a message body.
func Encode(body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("protocol: encode %T: %w", body, err)
	}
	return data, nil
}

// Decode reads a message body from its CBOR form.
func Decode(data []byte, body any) error {
	if err := decoding.Unmarshal(data, body); err != nil {
		return fmt.Errorf("%w: body %T: %w", ErrMalformedFrame, body, err)
	}
	return nil
}

// WriteFrame writes a frame behind its length in four big-endian bytes.
func WriteFrame(w io.Writer, frame Frame) error {
	payload, err := Encode(frame)
	if err != nil {
		return err
	}
	if len(payload) > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes to write", ErrMalformedFrame, len(payload))
	}
	buf := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(buf, uint32(len(payload)))
	_, err = w.Write(append(buf, payload...))
	return err
}

// ReadFrame reads one frame and checks its size and version.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return Frame{}, fmt.Errorf("%w: %d bytes announced", ErrMalformedFrame, size)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return Frame{}, err
	}
	var frame Frame
	if err := Decode(payload, &frame); err != nil {
		return Frame{}, err
	}
	if frame.Version != Version {
		return Frame{}, fmt.Errorf("%w: version %d, this build speaks %d", ErrMalformedFrame, frame.Version, Version)
	}
	return frame, nil
}
