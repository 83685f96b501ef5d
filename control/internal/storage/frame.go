package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Sizes of a frame on disk: its length and a checksum over length and payload, then the payload.
const (
	lengthBytes   = 4
	checksumBytes = 4
	headerBytes   = lengthBytes + checksumBytes
	maxFrameBytes = 64 << 20
	// zeroTailBytes is how many zeros at its end mark a frame whose write never reached the disk.
	zeroTailBytes = 64
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports damage that no interrupted write can have caused.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error formats the damage with its place and what to do.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("storage: %s is damaged at byte %d: %s; replace this member, do not edit the file", e.File, e.Offset, e.Reason)
}

// appendFrame adds a framed payload to a buffer.
func appendFrame(buf, payload []byte) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, checksum(buf[len(buf)-lengthBytes:], payload))
	return append(buf, payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// nextFrame returns the payload of the frame at the begin of data; false means that there is no whole, sound frame.
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

// ReadFrames calls take with each payload and returns how many bytes are sound.
//
// What follows the sound bytes can only be the last write that was interrupted; any other damage is a *CorruptionError.
func ReadFrames(file string, data []byte, take func(payload []byte) error) (sound int64, err error) {
	offset := 0
	for offset < len(data) {
		payload, ok := nextFrame(data[offset:])
		if !ok {
			return int64(offset), checkTail(file, data, offset)
		}
		if err := take(payload); err != nil {
			return int64(offset), &CorruptionError{File: file, Offset: int64(offset), Reason: err.Error()}
		}
		offset += headerBytes + len(payload)
	}
	return int64(offset), nil
}

// checkTail tells an interrupted last write from damage to what was synced.
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

// isInterrupted tells whether a tail is shorter than it announces or ends in blocks that were never written.
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
