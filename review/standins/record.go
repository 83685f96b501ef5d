package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }
