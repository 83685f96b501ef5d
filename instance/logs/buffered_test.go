package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"lentilwind.dev/instance/logs"
)

// gate is a log reader that takes nothing until it is opened.
type gate struct {
	mu    sync.Mutex
	open  chan struct{}
	taken bytes.Buffer
}

func (g *gate) Write(data []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taken.Write(data)
}

func TestSlowLogBlocksNobodyAndCountsWhatItDrops(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := logs.NewBuffered(g)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1000 {
		if n, err := b.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	close(g.open)
	b.Flush()
	g.mu.Lock()
	defer g.mu.Unlock()
	if lines := strings.Count(g.taken.String(), "xxx\n"); lines == 0 || lines > 600 {
		t.Errorf("%d lines were written", lines)
	}
	if !strings.Contains(g.taken.String(), "logLinesDropped") {
		t.Error("dropped lines are not told")
	}
}
