package caller

import (
	"context"
	"time"
)

// lazyDeadline is a context with a deadline that allocates nothing until Done is called.
type lazyDeadline struct {
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
}

// reset sets a new deadline and returns the context.
func (p *lazyDeadline) reset(deadline time.Time) context.Context {
	p.stop()
	p.deadline = deadline
	return p
}

// stop releases the timer that Done started.
func (p *lazyDeadline) stop() {
	if p.cancel != nil {
		p.cancel()
	}
	p.ctx, p.cancel = nil, nil
}

// Deadline implements context.Context.
func (p *lazyDeadline) Deadline() (time.Time, bool) { return p.deadline, true }

// Done returns a channel that is closed at the deadline. Only the goroutine that owns the context may call it.
func (p *lazyDeadline) Done() <-chan struct{} {
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithDeadline(context.Background(), p.deadline)
	}
	return p.ctx.Done()
}

// Err returns context.DeadlineExceeded once the deadline has passed.
func (p *lazyDeadline) Err() error {
	if time.Now().Before(p.deadline) {
		return nil
	}
	return context.DeadlineExceeded
}

// Value implements context.Context; the context carries no values.
func (p *lazyDeadline) Value(any) any { return nil }

// confirmContext returns a context that bounds the wait for a majority of the group.
func (c *callerConn) confirmContext() context.Context {
	return c.buffers.waitContext.reset(time.Now().Add(c.server.cfg.Limits.ConfirmTimeout))
}
