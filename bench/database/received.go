package database

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"lentilwind.dev/bench/history"
)

// received keeps and searches the bytes that connections sent.
type received struct {
	keep   bool
	folder string
	found  func(text string)

	mu    sync.Mutex
	watch []string
	// streams has the bytes of each connection, in the order of their opening.
	streams []*stream
}

// stream is the bytes of one connection.
type stream struct {
	owner *received
	file  *os.File

	mu   sync.Mutex
	kept []byte
	// tail has the last bytes, in which a watched text may have begun.
	tail []byte
}

func newReceived(cfg *Config, rec *record) *received {
	r := &received{keep: !cfg.ForgetRecord, folder: cfg.ReceivedFolder, watch: cfg.Watch}
	r.found = func(text string) {
		rec.add(history.DatabaseEvent{
			Service: cfg.Service, Server: cfg.Server, Kind: history.DatabaseWatchedText, Text: text,
		})
	}
	return r
}

func (r *received) open(connection uint64) (*stream, error) {
	s := &stream{owner: r}
	if r.folder != "" {
		if err := os.MkdirAll(r.folder, 0o750); err != nil {
			return nil, fmt.Errorf("database: %w", err)
		}
		path := filepath.Join(r.folder, fmt.Sprintf("%d-%d.bytes", os.Getpid(), connection))
		file, err := os.Create(path)
		if err != nil {
			return nil, fmt.Errorf("database: %w", err)
		}
		s.file = file
	}
	if r.keep {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.streams = append(r.streams, s)
	}
	return s, nil
}

func (s *stream) add(data []byte) {
	if s.owner.keep {
		s.mu.Lock()
		s.kept = append(s.kept, data...)
		s.mu.Unlock()
	}
	if s.file != nil {
		_, _ = s.file.Write(data)
	}
	s.search(data)
}

// search looks for watched texts that end in the new bytes.
func (s *stream) search(data []byte) {
	s.owner.mu.Lock()
	watch := s.owner.watch
	s.owner.mu.Unlock()
	if len(watch) == 0 {
		return
	}
	longest := 0
	window := slices.Concat(s.tail, data)
	for _, text := range watch {
		longest = max(longest, len(text))
		start := max(0, len(s.tail)-len(text)+1)
		if bytes.Contains(window[start:], []byte(text)) {
			s.owner.found(text)
		}
	}
	s.tail = append([]byte(nil), window[max(0, len(window)-longest+1):]...)
}

func (s *stream) close() {
	if s.file != nil {
		_ = s.file.Close()
	}
}

// add watches for one more text.
func (r *received) add(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch = append(append([]string(nil), r.watch...), text)
}

// contains searches the bytes kept in memory.
func (r *received) contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		s.mu.Lock()
		found := bytes.Contains(s.kept, []byte(text))
		s.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
