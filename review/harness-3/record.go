package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. Times are seconds since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// note also shows the line on standard output.
func (r *record) note(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}
