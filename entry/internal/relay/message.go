package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kind is the type byte of a protocol message.
type Kind byte

// Kinds of messages from clients.
const (
	KindQuery        Kind = 'Q'
	KindParse        Kind = 'P'
	KindBind         Kind = 'B'
	KindDescribe     Kind = 'D'
	KindExecute      Kind = 'E'
	KindClose        Kind = 'C'
	KindSync         Kind = 'S'
	KindFlush        Kind = 'H'
	KindTerminate    Kind = 'X'
	KindFunctionCall Kind = 'F'
	KindCopyFail     Kind = 'f'
	KindCopyDone     Kind = 'c'
	KindCopyData     Kind = 'd'
)

// Kinds of messages from databases.
const (
	KindReadyForQuery        Kind = 'Z'
	KindErrorResponse        Kind = 'E'
	KindNotice               Kind = 'N'
	KindNotification         Kind = 'A'
	KindParameterStatus      Kind = 'S'
	KindCommandComplete      Kind = 'C'
	KindEmptyQuery           Kind = 'I'
	KindPortalSuspended      Kind = 's'
	KindParseComplete        Kind = '1'
	KindBindComplete         Kind = '2'
	KindCloseComplete        Kind = '3'
	KindNoData               Kind = 'n'
	KindRowDescription       Kind = 'T'
	KindParameterDescription Kind = 't'
	KindDataRow              Kind = 'D'
	KindCopyIn               Kind = 'G'
	KindCopyBoth             Kind = 'W'
)

// KindEnsurePrepared is a Parse whose answer is hidden from the caller. It exists only inside and between entries and is never
// sent to a database.
const KindEnsurePrepared Kind = 'e'

// HeaderBytes is the size of a message's type byte and length.
const HeaderBytes = 5

const sizeBytes = 4

// ErrMalformedMessage is wrapped by all errors about malformed messages.
var ErrMalformedMessage = errors.New("relay: malformed message")

// ReadHeader reads the kind of the next message and the length of its body.
func ReadHeader(r *bufio.Reader) (Kind, int, error) {
	header, err := r.Peek(HeaderBytes)
	if err != nil {
		if len(header) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	kind, size := Kind(header[0]), int64(binary.BigEndian.Uint32(header[1:]))
	if size < sizeBytes {
		return 0, 0, fmt.Errorf("%w: size %d", ErrMalformedMessage, size)
	}
	_, _ = r.Discard(HeaderBytes)
	return kind, int(size - sizeBytes), nil
}

// AppendHeader appends the header of a message whose body has the given length.
func AppendHeader(dst []byte, kind Kind, body int) []byte {
	dst = append(dst, byte(kind))
	return binary.BigEndian.AppendUint32(dst, uint32(body+sizeBytes))
}

// AppendBody reads n bytes and appends them to dst.
func AppendBody(dst []byte, r *bufio.Reader, n int) ([]byte, error) {
	for n > 0 {
		if r.Buffered() == 0 {
			if _, err := r.Peek(1); err != nil {
				return dst, unexpectedEOF(err)
			}
		}
		part, _ := r.Peek(min(n, r.Buffered()))
		dst = append(dst, part...)
		n -= len(part)
		_, _ = r.Discard(len(part))
	}
	return dst, nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Split returns the first message of a buffer of complete messages, and the rest.
func Split(data []byte) (kind Kind, body, rest []byte, err error) {
	if len(data) < HeaderBytes {
		return 0, nil, nil, fmt.Errorf("%w: %d bytes left", ErrMalformedMessage, len(data))
	}
	size := int64(binary.BigEndian.Uint32(data[1:]))
	end := 1 + size
	if size < sizeBytes || end > int64(len(data)) {
		return 0, nil, nil, fmt.Errorf("%w: size %d with %d bytes left", ErrMalformedMessage, size, len(data))
	}
	return Kind(data[0]), data[HeaderBytes:end], data[end:], nil
}

// CutString returns the NUL-terminated string at the start of a body, and the rest.
func CutString(body []byte) (text, rest []byte, err error) {
	for i, b := range body {
		if b == 0 {
			return body[:i], body[i+1:], nil
		}
	}
	return nil, nil, fmt.Errorf("%w: unterminated string", ErrMalformedMessage)
}
