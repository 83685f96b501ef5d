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

// receivedBytes stores the bytes received on all connections and searches them for watched texts.
type receivedBytes struct {
	inMemory bool
	folder   string
	onMatch  func(text string)

	mu           sync.Mutex
	watchedTexts []string
	// streams holds the bytes of each connection, in the order in which they were opened.
	streams []*stream
}

// stream holds the bytes received on one connection.
type stream struct {
	owner *receivedBytes
	file  *os.File

	mu   sync.Mutex
	data []byte
	// tail holds the last bytes, in which a watched text may have started.
	tail []byte
}

func newReceivedBytes(cfg *Config, observations *observationLog) *receivedBytes {
	r := &receivedBytes{inMemory: !cfg.ForgetRecord, folder: cfg.ReceivedFolder, watchedTexts: cfg.Watch}
	r.onMatch = func(text string) {
		observations.add(history.DatabaseEvent{
			Service: cfg.Service, Server: cfg.Server, Kind: history.DatabaseWatchedText, Text: text,
		})
	}
	return r
}

func (r *receivedBytes) open(connection uint64) (*stream, error) {
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
	if r.inMemory {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.streams = append(r.streams, s)
	}
	return s, nil
}

func (s *stream) add(data []byte) {
	if s.owner.inMemory {
		s.mu.Lock()
		s.data = append(s.data, data...)
		s.mu.Unlock()
	}
	if s.file != nil {
		_, _ = s.file.Write(data)
	}
	s.search(data)
}

// search finds watched texts that end in the new bytes.
func (s *stream) search(data []byte) {
	s.owner.mu.Lock()
	texts := s.owner.watchedTexts
	s.owner.mu.Unlock()
	if len(texts) == 0 {
		return
	}
	longest := 0
	window := slices.Concat(s.tail, data)
	for _, text := range texts {
		longest = max(longest, len(text))
		start := max(0, len(s.tail)-len(text)+1)
		if bytes.Contains(window[start:], []byte(text)) {
			s.owner.onMatch(text)
		}
	}
	s.tail = append([]byte(nil), window[max(0, len(window)-longest+1):]...)
}

func (s *stream) close() {
	if s.file != nil {
		_ = s.file.Close()
	}
}

// watch adds a text to search for.
func (r *receivedBytes) watch(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchedTexts = append(append([]string(nil), r.watchedTexts...), text)
}

// contains reports whether a text occurs in the bytes kept in memory.
func (r *receivedBytes) contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		s.mu.Lock()
		found := bytes.Contains(s.data, []byte(text))
		s.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
