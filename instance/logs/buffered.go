package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// bufferedBytes bounds the size of the lines that wait to be written.
const bufferedBytes = 256 << 10

// Buffered writes lines on a separate goroutine, so that a slow reader of the log does not block the callers. Lines that exceed
// its buffer are dropped and counted.
type Buffered struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	idle    *sync.Cond
	writing bool
}

// NewBuffered returns a writer whose goroutine runs until the process ends.
func NewBuffered(out io.Writer) *Buffered {
	b := &Buffered{out: out, wake: make(chan struct{}, 1)}
	b.idle = sync.NewCond(&b.mu)
	go b.run()
	return b
}

// Write adds a line to the buffer; it never blocks on the output.
func (b *Buffered) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > bufferedBytes {
		b.dropped++
		b.mu.Unlock()
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (b *Buffered) run() {
	for range b.wake {
		b.mu.Lock()
		lines, dropped := b.pending, b.dropped
		b.pending, b.dropped, b.writing = b.spare[:0], 0, true
		b.mu.Unlock()
		if dropped > 0 {
			lines = fmt.Appendf(lines, "{\"time\":%q,\"level\":\"warn\",\"lines\":%d,\"message\":\"logLinesDropped\"}\n",
				time.Now().Format(time.RFC3339Nano), dropped)
		}
		_, _ = b.out.Write(lines) // An error of the log itself cannot be reported anywhere.
		b.mu.Lock()
		b.spare, b.writing = lines, false
		b.idle.Broadcast()
		b.mu.Unlock()
	}
}

// Flush waits until all buffered lines have been written.
func (b *Buffered) Flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) > 0 || b.writing {
		b.idle.Wait()
	}
}
