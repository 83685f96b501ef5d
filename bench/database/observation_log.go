package database

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lentilwind.dev/bench/history"
)

// observationLog records the observations of a server in memory, in a file, or both.
type observationLog struct {
	inMemory bool

	mu      sync.Mutex
	entries []history.DatabaseEvent
	file    *os.File
}

func openObservationLog(path string, inMemory bool) (*observationLog, error) {
	l := &observationLog{inMemory: inMemory}
	if path == "" {
		return l, nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return nil, fmt.Errorf("database: %w", err)
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("database: %w", err)
	}
	l.file = file
	return l, nil
}

// enabled reports whether observations are recorded at all.
func (l *observationLog) enabled() bool { return l.inMemory || l.file != nil }

// add records one observation; it is written to the file at once, so that none is lost when the process ends.
func (l *observationLog) add(o history.DatabaseEvent) {
	if !l.enabled() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	o.Time = time.Now()
	if l.inMemory {
		l.entries = append(l.entries, o)
	}
	if l.file == nil {
		return
	}
	line, err := json.Marshal(o)
	if err != nil {
		panic("database: " + err.Error())
	}
	_, _ = l.file.Write(append(line, '\n'))
}

func (l *observationLog) all() []history.DatabaseEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]history.DatabaseEvent(nil), l.entries...)
}

func (l *observationLog) close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
