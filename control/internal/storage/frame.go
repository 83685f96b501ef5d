package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Layout of a frame on disk: the payload length, a checksum of the length and the payload, and the payload.
const (
	lengthBytes   = 4
	checksumBytes = 4
	headerBytes   = lengthBytes + checksumBytes
	maxFrameBytes = 64 << 20
	// zeroTailBytes is how many trailing zero bytes identify a frame whose last blocks were never written to disk.
	zeroTailBytes = 64
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports damage that an interrupted write cannot have caused.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error describes the damage, its location and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("storage: %s is damaged at byte %d: %s; replace this member, do not edit the file", e.File, e.Offset, e.Reason)
}

// appendFrame appends the frame of a payload to a buffer.
func appendFrame(buf, payload []byte) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, checksum(buf[len(buf)-lengthBytes:], payload))
	return append(buf, payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// nextFrame returns the payload of the frame at the start of data, and false if that frame is incomplete or invalid.
func nextFrame(data []byte) ([]byte, bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	size := binary.BigEndian.Uint32(data)
	if size == 0 || size > maxFrameBytes || int64(size) > int64(len(data)-headerBytes) {
		return nil, false
	}
	payload := data[headerBytes : headerBytes+int(size)]
	if checksum(data[:lengthBytes], payload) != binary.BigEndian.Uint32(data[lengthBytes:]) {
		return nil, false
	}
	return payload, true
}

// ReadFrames calls handle with each payload and returns the number of bytes that consist of valid frames.
//
// Anything after those bytes can only be the last write, which was interrupted; any other damage is a *CorruptionError.
func ReadFrames(file string, data []byte, handle func(payload []byte) error) (validBytes int64, err error) {
	offset := 0
	for offset < len(data) {
		payload, ok := nextFrame(data[offset:])
		if !ok {
			return int64(offset), checkTail(file, data, offset)
		}
		if err := handle(payload); err != nil {
			return int64(offset), &CorruptionError{File: file, Offset: int64(offset), Reason: err.Error()}
		}
		offset += headerBytes + len(payload)
	}
	return int64(offset), nil
}

// checkTail distinguishes an interrupted last write from damage to synced data.
func checkTail(file string, data []byte, offset int) error {
	tail := data[offset:]
	for i := 1; i < len(tail); i++ {
		if _, ok := nextFrame(tail[i:]); ok {
			return &CorruptionError{File: file, Offset: int64(offset), Reason: fmt.Sprintf("a sound record follows at byte %d", offset+i)}
		}
	}
	if isInterrupted(tail) {
		return nil
	}
	return &CorruptionError{File: file, Offset: int64(offset), Reason: "the checksum of a completely written record does not match"}
}

// isInterrupted reports whether a frame is shorter than its length field says or ends in blocks that were never written.
func isInterrupted(tail []byte) bool {
	if len(tail) < headerBytes {
		return true
	}
	size := int64(binary.BigEndian.Uint32(tail))
	if size <= maxFrameBytes && size > int64(len(tail)-headerBytes) {
		return true
	}
	end := tail[max(0, len(tail)-zeroTailBytes):]
	for _, b := range end {
		if b != 0 {
			return false
		}
	}
	return true
}
