package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the scenario "drain".
const (
	drainTime    = 7 * time.Second
	stableWindow = 4 * time.Second
	// freezeBefore and freezeAfter are how long before and after the acknowledgement the entry stands still: 3 s in all.
	freezeBefore = 500 * time.Millisecond
	freezeAfter  = 2500 * time.Millisecond
	// servesOn is how long a leaving database serves beyond drainTime.
	servesOn = 3 * time.Second
)

// request is one single statement of a client.
type request struct {
	entry *process
	sent  time.Time
}

// runDrain lets the primary leave while the platform is down, so that nothing replaces it. One entry stands still for 3 s around the
// acknowledgement. Nothing that machines in touch took from clients may reach the primary later than drainTime after the acknowledgement.
func runDrain(f *fleet, trouble bool) (int, error) {
	p, g, err := setUp(f, 0)
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	requests := map[string]request{}
	var acknowledgedAt, wokenAt time.Time
	late, served := 0, map[string]int{}
	leaving := g.databases[0]
	g.accept = func(d *database, id, text string) {
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		r, found := requests[id]
		if d != leaving || !found || acknowledgedAt.IsZero() || now.Sub(acknowledgedAt) <= drainTime {
			return
		}
		inTouch := now.Sub(wokenAt) > stableWindow && r.sent.Sub(wokenAt) > stableWindow
		f.record.line("%s runs %s %s %.3f s after the acknowledgement; client sent it to %s, in touch: %v", d.id, id, text, now.Sub(acknowledgedAt).Seconds(), r.entry.name, inTouch)
		if inTouch {
			if late++; late <= 5 {
				f.record.note("late: %s runs %s %.3f s after the acknowledgement, sent at %.3f to %s", d.id, id, now.Sub(acknowledgedAt).Seconds(), f.record.at(r.sent), r.entry.name)
			}
		}
	}
	var stopped atomic.Bool
	var work sync.WaitGroup
	for _, e := range f.entries {
		work.Go(func() {
			for !stopped.Load() {
				c, err := dialClient(e.ip, "orders")
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for !stopped.Load() {
					id := newID()
					mu.Lock()
					requests[id] = request{entry: e, sent: time.Now()}
					mu.Unlock()
					a, err := c.query(id, "WRITE 1a4 xkqpwnzd", 2*time.Second)
					f.record.line("client at %s: write %s -> %s %v", e.name, id, a.code, err)
					if err != nil {
						break
					}
					if a.code == done {
						mu.Lock()
						served[e.name]++
						mu.Unlock()
					}
					time.Sleep(100 * time.Millisecond)
				}
				c.close()
			}
		})
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	f.record.note("before the disruption, writes answered with success: %v", served)
	enough := len(served) == len(f.entries)
	mu.Unlock()
	if !enough {
		return cannotRun, nil
	}
	frozen := f.entries[0]
	if trouble {
		p.down.Store(true)
		f.record.note("the platform is down from now on")
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return cannotRun, err
		}
		f.record.note("%s stands still", frozen.name)
	}
	time.Sleep(freezeBefore)
	g.mu.Lock()
	leaving.draining = true
	g.mu.Unlock()
	acknowledged := leaving.announce()
	if acknowledged.IsZero() {
		return cannotRun, nil
	}
	mu.Lock()
	acknowledgedAt = acknowledged
	mu.Unlock()
	f.record.note("%s, the primary, leaves; that was acknowledged", leaving.id)
	time.Sleep(freezeAfter)
	if trouble {
		if err := frozen.signal(syscall.SIGCONT); err != nil {
			return cannotRun, err
		}
		f.record.note("%s goes on", frozen.name)
	}
	mu.Lock()
	wokenAt = time.Now()
	mu.Unlock()
	time.Sleep(time.Until(acknowledged.Add(drainTime + servesOn)))
	stopped.Store(true)
	work.Wait()
	p.down.Store(false)
	f.record.note("writes answered with success in all: %v", served)
	if late > 0 {
		f.record.note("DRAIN is broken: %d requests reached %s later than %v after the acknowledgement", late, leaving.id, drainTime)
		return broken, nil
	}
	f.record.note("DRAIN held")
	return held, nil
}
