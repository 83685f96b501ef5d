package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// Times of the scenario "late".
const (
	// platformDelay is how long the slow platform takes for a call.
	platformDelay = 2500 * time.Millisecond
	// deafAfter is when, after the first order, the replica that was ordered to lead stops receiving, and hearsAfter when it receives again.
	deafAfter  = 300 * time.Millisecond
	hearsAfter = 4 * time.Second
)

// runLate lets the primary of a service with syncReplicas 1 leave while the platform is slow, and the replica that control orders to lead
// receives nothing for a while. The database that is promoted must hold every write that a client was told to be committed.
func runLate(f *fleet, trouble bool) (int, error) {
	p, g, err := setUp(f, 1)
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	confirmed := map[string]time.Time{}
	lost, promotions := 0, 0
	g.promoted = func(d *database) {
		mu.Lock()
		defer mu.Unlock()
		promotions++
		missing := 0
		for id := range confirmed {
			if !d.has(id) {
				if missing++; missing <= 5 {
					f.record.note("write %s was answered with success at %.3f and is not in the log of %s", id, f.record.at(confirmed[id]), d.id)
				}
				delete(confirmed, id)
			}
		}
		lost += missing
		f.record.note("%s takes over; %d acknowledged writes are not in its log", d.id, missing)
		for _, r := range g.databases {
			f.record.note("  %s received=%d applied=%d", r.id, len(r.log), r.applied)
		}
	}
	var first sync.Once
	p.ordered = func(id string) {
		if !trouble {
			return
		}
		first.Do(func() {
			for _, d := range g.databases {
				if d.id != id {
					continue
				}
				time.AfterFunc(deafAfter, func() {
					g.mu.Lock()
					d.deaf = true
					g.mu.Unlock()
					f.record.note("%s receives nothing from now on", d.id)
				})
				time.AfterFunc(hearsAfter, d.hear)
			}
		})
	}
	var stopped atomic.Bool
	var served atomic.Int64
	var work sync.WaitGroup
	for i := range writers {
		work.Go(func() {
			for !stopped.Load() {
				c, err := dialClient(f.entries[i%len(f.entries)].ip, "orders")
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for !stopped.Load() {
					id := newID()
					a, err := c.query(id, "WRITE 1a4 xkqpwnzd", 2*time.Second)
					f.record.line("client: write %s -> %s %v", id, a.code, err)
					if err != nil {
						break
					}
					if a.code == done {
						mu.Lock()
						confirmed[id] = time.Now()
						mu.Unlock()
						served.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
				c.close()
			}
		})
	}
	time.Sleep(4 * time.Second)
	f.record.note("before the disruption: %d writes were answered with success", served.Load())
	if served.Load() == 0 {
		return cannotRun, nil
	}
	if trouble {
		p.delay.Store(int64(platformDelay))
		f.record.note("the platform takes %v for a call from now on", platformDelay)
	}
	leaving := g.databases[0]
	g.mu.Lock()
	leaving.draining = true
	g.mu.Unlock()
	f.record.note("%s, the primary, leaves", leaving.id)
	if leaving.announce().IsZero() {
		return cannotRun, nil
	}
	time.Sleep(7 * time.Second)
	stopped.Store(true)
	work.Wait()
	f.record.note("%d writes were answered with success; %d promotions", served.Load(), promotions)
	switch {
	case promotions == 0:
		return cannotRun, nil
	case lost > 0:
		f.record.note("LOST is broken: %d acknowledged writes are not in the log of the promoted database", lost)
		return broken, nil
	}
	f.record.note("LOST held")
	return held, nil
}
