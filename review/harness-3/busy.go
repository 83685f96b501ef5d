package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the scenario "busy".
const (
	readers = 40
	writers = 12
	// slowApply is how late the second replica applies: 110 times its usual 8 ms, as a trouble of the site has it.
	slowApply = 880 * time.Millisecond
	// deafTime is how long the third replica has received nothing when the primary crashes.
	deafTime = 400 * time.Millisecond
)

// runBusy crashes a primary while one replica applies late and the other has received nothing for a moment. The service has syncReplicas 1.
// The database that is promoted must hold every write that a client was told to be committed.
func runBusy(f *fleet, trouble bool) (int, error) {
	_, g, err := setUp(f, 1)
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
				missing++
				if missing <= 5 {
					f.record.note("write %s was answered with success at %.3f and is not in the log of %s", id, f.record.at(confirmed[id]), d.id)
				}
			}
		}
		lost += missing
		f.record.note("%s takes over with %d commits; %d of %d acknowledged writes are not in its log", d.id, len(d.log), missing, len(confirmed))
		for _, r := range g.databases {
			f.record.note("  %s running=%v received=%d applied=%d", r.id, r.running, len(r.log), r.applied)
		}
	}
	var stopped atomic.Bool
	var served, reads atomic.Int64
	var work sync.WaitGroup
	loop := func(i int, host string, pause time.Duration, run func(c *client) bool) {
		work.Go(func() {
			for !stopped.Load() {
				c, err := dialClient(f.entries[i%len(f.entries)].ip, host)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for !stopped.Load() && run(c) {
					time.Sleep(pause)
				}
				c.close()
			}
		})
	}
	for i := range writers {
		loop(i, "orders", 40*time.Millisecond, func(c *client) bool {
			id := newID()
			a, err := c.query(id, "WRITE 1a4 xkqpwnzd", 2*time.Second)
			if err == nil && a.code == done {
				mu.Lock()
				confirmed[id] = time.Now()
				mu.Unlock()
				f.record.line("client: write %s -> success", id)
				served.Add(1)
			} else {
				f.record.line("client: write %s -> %s %v", id, a.code, err)
			}
			return err == nil
		})
	}
	for i := range readers {
		loop(i, "lookup", 5*time.Millisecond, func(c *client) bool {
			a, err := c.query(newID(), "READ 1a4", 3*time.Second)
			if err == nil && a.code == done {
				reads.Add(1)
			}
			return err == nil
		})
	}
	time.Sleep(4 * time.Second)
	f.record.note("before the disruption: %d writes and %d reads were answered with success", served.Load(), reads.Load())
	if served.Load() == 0 || reads.Load() == 0 {
		return cannotRun, nil
	}
	if trouble {
		g.mu.Lock()
		second, third, first := g.databases[1], g.databases[2], g.databases[0]
		second.applyLag = slowApply
		g.mu.Unlock()
		f.record.note("%s applies %v late from now on", second.id, slowApply)
		time.Sleep(3 * time.Second)
		g.mu.Lock()
		third.deaf = true
		g.mu.Unlock()
		f.record.note("%s receives nothing from now on", third.id)
		time.Sleep(deafTime)
		f.record.note("%s, the primary, crashes", first.id)
		first.crash()
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(6 * time.Second)
	stopped.Store(true)
	work.Wait()
	f.record.note("%d writes and %d reads were answered with success; %d promotions", served.Load(), reads.Load(), promotions)
	if lost > 0 {
		f.record.note("LOST is broken: %d acknowledged writes are not in the log of the promoted database", lost)
		return broken, nil
	}
	f.record.note("LOST held")
	return held, nil
}
