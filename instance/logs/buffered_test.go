package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"lentilwind.dev/instance/logs"
)

// blockedWriter is an output that blocks until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(data)
}

func TestBufferedDoesNotBlockAndCountsDroppedLines(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	b := logs.NewBuffered(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1000 {
		if n, err := b.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	close(w.unblock)
	b.Flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	if lines := strings.Count(w.written.String(), "xxx\n"); lines == 0 || lines > 600 {
		t.Errorf("%d lines were written", lines)
	}
	if !strings.Contains(w.written.String(), "logLinesDropped") {
		t.Error("the log does not report dropped lines")
	}
}
