package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sync"
)

// ErrClosed is returned for an entry that was not durable when the log was closed.
var ErrClosed = errors.New("wal: closed")

// Offset is a position in the log, in bytes.
type Offset int64

// Log appends entries and makes them durable with group commit.
type Log struct {
	file File

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	// appended is the end of the log, including pending bytes.
	appended   Offset
	synced     Offset
	syncing    bool
	syncPaused bool
	closed     bool
	writeError error
}

// headerBytes is the size of an entry's header: the length of the payload and its CRC-32C, both big-endian.
const headerBytes = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Open reads all complete entries of the file, truncates a torn tail and returns a log that appends after the last entry.
func Open(file File) (*Log, [][]byte, error) {
	data, err := file.ReadAll()
	if err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	entries, end := decodeEntries(data)
	if err := file.Truncate(int64(end)); err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	l := &Log{file: file, appended: end, synced: end}
	l.changed = sync.NewCond(&l.mu)
	return l, entries, nil
}

func decodeEntries(data []byte) ([][]byte, Offset) {
	var entries [][]byte
	var end Offset
	for {
		rest := data[end:]
		if len(rest) < headerBytes {
			return entries, end
		}
		size := int64(binary.BigEndian.Uint32(rest))
		if int64(len(rest)) < headerBytes+size {
			return entries, end
		}
		payload := rest[headerBytes : headerBytes+size]
		if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
			return entries, end
		}
		entries = append(entries, payload)
		end += Offset(headerBytes + size)
	}
}

// Append adds an entry in memory and returns the offset to pass to Sync to make it durable.
func (l *Log) Append(payload []byte) Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = binary.BigEndian.AppendUint32(l.pending, uint32(len(payload)))
	l.pending = binary.BigEndian.AppendUint32(l.pending, crc32.Checksum(payload, castagnoli))
	l.pending = append(l.pending, payload...)
	l.appended += Offset(headerBytes + len(payload))
	return l.appended
}

// Synced returns the offset up to which the log is durable.
func (l *Log) Synced() Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced
}

// Sync waits until the log is durable up to the offset; concurrent callers share one write.
func (l *Log) Sync(to Offset) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.synced < to {
		switch {
		case l.writeError != nil:
			return l.writeError
		case l.closed:
			return ErrClosed
		case l.syncing || l.syncPaused:
			l.changed.Wait()
		default:
			l.writePending()
		}
	}
	return nil
}

// writePending makes all pending entries durable; it releases the lock during the write.
func (l *Log) writePending() {
	batch, end := l.pending, l.appended
	l.pending = nil
	l.syncing = true
	l.mu.Unlock()
	err := l.file.Write(batch)
	l.mu.Lock()
	l.syncing = false
	if err != nil {
		l.writeError = fmt.Errorf("wal: %w", err)
	} else {
		l.synced = end
	}
	l.changed.Broadcast()
}

// SetSyncPaused pauses or resumes making entries durable.
func (l *Log) SetSyncPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncPaused = paused
	l.changed.Broadcast()
}

// Close discards the entries that are not durable and closes the file.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.changed.Broadcast()
	for l.syncing {
		l.changed.Wait()
	}
	return l.file.Close()
}
