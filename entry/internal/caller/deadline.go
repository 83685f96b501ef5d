package caller

import (
	"context"
	"time"
)

// patience is a context with a deadline that needs no memory before somebody waits for it.
type patience struct {
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
}

// until returns the context with a new deadline.
func (p *patience) until(deadline time.Time) context.Context {
	p.stop()
	p.deadline = deadline
	return p
}

// stop frees what waiting took.
func (p *patience) stop() {
	if p.cancel != nil {
		p.cancel()
	}
	p.ctx, p.cancel = nil, nil
}

// Deadline returns the deadline.
func (p *patience) Deadline() (time.Time, bool) { return p.deadline, true }

// Done returns a channel that is closed at the deadline; only the goroutine that owns the patience may call it.
func (p *patience) Done() <-chan struct{} {
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithDeadline(context.Background(), p.deadline)
	}
	return p.ctx.Done()
}

// Err returns an error once the deadline has passed.
func (p *patience) Err() error {
	if time.Now().Before(p.deadline) {
		return nil
	}
	return context.DeadlineExceeded
}

// Value holds nothing.
func (p *patience) Value(any) any { return nil }

// patience returns a context for the wait for a majority.
func (c *caller) patience() context.Context {
	return c.buffers.patience.until(time.Now().Add(c.server.cfg.Limits.ConfirmTimeout))
}
