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

// record keeps what a server observed.
type record struct {
	keep bool

	mu   sync.Mutex
	list []history.DatabaseEvent
	file *os.File
}

func openRecord(path string, keep bool) (*record, error) {
	r := &record{keep: keep}
	if path == "" {
		return r, nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return nil, fmt.Errorf("database: %w", err)
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("database: %w", err)
	}
	r.file = file
	return r, nil
}

// enabled tells whether observations go anywhere.
func (r *record) enabled() bool { return r.keep || r.file != nil }

// add writes one observation through to the file, so that the end of the process loses none.
func (r *record) add(o history.DatabaseEvent) {
	if !r.enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.Time = time.Now()
	if r.keep {
		r.list = append(r.list, o)
	}
	if r.file == nil {
		return
	}
	line, err := json.Marshal(o)
	if err != nil {
		panic("database: " + err.Error())
	}
	_, _ = r.file.Write(append(line, '\n'))
}

func (r *record) all() []history.DatabaseEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]history.DatabaseEvent(nil), r.list...)
}

func (r *record) close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}
