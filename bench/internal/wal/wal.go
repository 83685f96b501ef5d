package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sync"
)

// ErrClosed is the outcome of an entry that was not durable when the log was closed.
var ErrClosed = errors.New("wal: closed")

// Offset is a place in the log, in bytes.
type Offset int64

// Log appends entries and makes them durable in groups.
type Log struct {
	file File

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	// appended counts pending bytes too.
	appended Offset
	synced   Offset
	syncing  bool
	held     bool
	closed   bool
	failure  error
}

const headerBytes = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Open reads every whole entry of the file, cuts off a torn tail and returns a log that appends behind it.
func Open(file File) (*Log, [][]byte, error) {
	data, err := file.ReadAll()
	if err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	entries, end := decode(data)
	if err := file.Truncate(int64(end)); err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	l := &Log{file: file, appended: end, synced: end}
	l.changed = sync.NewCond(&l.mu)
	return l, entries, nil
}

func decode(data []byte) ([][]byte, Offset) {
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

// Append adds an entry in memory and returns the offset that Sync must reach to make it durable.
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

// Sync waits until the log is durable up to the offset; callers that wait together share one write.
func (l *Log) Sync(to Offset) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.synced < to {
		switch {
		case l.failure != nil:
			return l.failure
		case l.closed:
			return ErrClosed
		case l.syncing || l.held:
			l.changed.Wait()
		default:
			l.write()
		}
	}
	return nil
}

// write makes all pending entries durable; the lock is given up meanwhile.
func (l *Log) write() {
	batch, end := l.pending, l.appended
	l.pending = nil
	l.syncing = true
	l.mu.Unlock()
	err := l.file.Write(batch)
	l.mu.Lock()
	l.syncing = false
	if err != nil {
		l.failure = fmt.Errorf("wal: %w", err)
	} else {
		l.synced = end
	}
	l.changed.Broadcast()
}

// SetSyncPaused stops or resumes syncing.
func (l *Log) SetSyncPaused(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.changed.Broadcast()
}

// Close drops what is not durable and closes the file.
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
