package wal

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
)

// File stores the bytes of a log.
type File interface {
	// ReadAll returns all bytes.
	ReadAll() ([]byte, error)
	// Truncate shortens the file to a size.
	Truncate(size int64) error
	// Write appends bytes and makes them durable.
	Write(data []byte) error
	// Close closes the file; its durable bytes remain.
	Close() error
}

// DiskFile is a log file on disk.
type DiskFile struct{ file *os.File }

// OpenDiskFile opens a file; it and its folder are created if they do not exist.
func OpenDiskFile(path string) (*DiskFile, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	return &DiskFile{file: file}, nil
}

// ReadAll returns all bytes.
func (d *DiskFile) ReadAll() ([]byte, error) { return io.ReadAll(d.file) }

// Truncate shortens the file to a size.
func (d *DiskFile) Truncate(size int64) error {
	if err := d.file.Truncate(size); err != nil {
		return err
	}
	_, err := d.file.Seek(size, io.SeekStart)
	return err
}

// Write appends bytes and syncs the file.
func (d *DiskFile) Write(data []byte) error {
	if _, err := d.file.Write(data); err != nil {
		return err
	}
	return d.file.Sync()
}

// Close closes the file.
func (d *DiskFile) Close() error { return d.file.Close() }

// MemoryFile is a log file in memory; its bytes remain when a log that uses it is closed.
type MemoryFile struct {
	mu   sync.Mutex
	data []byte
}

// ReadAll returns a copy of all bytes.
func (m *MemoryFile) ReadAll() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]byte(nil), m.data...), nil
}

// Truncate shortens the file to a size.
func (m *MemoryFile) Truncate(size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = m.data[:size]
	return nil
}

// Write appends bytes.
func (m *MemoryFile) Write(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = append(m.data, data...)
	return nil
}

// Close does nothing; the bytes remain.
func (m *MemoryFile) Close() error { return nil }
