package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times and names of the scenario "open".
const (
	revokeTime = 5 * time.Second
	// entryFreeze is how long one entry stands still, beginning entryLead before the configuration is sent. controlDown is how long all control
	// processes are down, beginning when the configuration is acknowledged.
	entryFreeze = time.Second
	entryLead   = 300 * time.Millisecond
	controlDown = 5 * time.Second

	openHost   = "opendata"
	secondKey  = "j8pjbvk9m68k7b2ex5wa"
	openWriter = 4
)

// openConfiguration has a route that needs no key until it is closed. Then it needs one, and the second key is taken away.
func openConfiguration(version int, closed bool) map[string]any {
	c := configuration(version, service, 0)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-open", "host": openHost, "pathPrefix": "/", "routeType": "primary", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 1,
		"service": service, "maxAttempts": 2, "authExempt": !closed,
	})
	keys := []string{clientKey, secondKey}
	if closed {
		keys = keys[:1]
	}
	c["tenants"].([]any)[0].(map[string]any)["apiKeys"] = keys
	return c
}

// runOpen takes a key away and makes the route of its clients need one, while an entry stands still. When that is acknowledged, all control
// processes are killed and stay down for a while. No request with that key may run that was sent later than revokeTime after the acknowledgement.
func runOpen(f *fleet, trouble bool) (int, error) {
	_, g, err := setUp(f, 0)
	if err != nil {
		return cannotRun, err
	}
	if err := configure(g.controls, openConfiguration(8, false)); err != nil {
		return cannotRun, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var acknowledgedAt time.Time
	late, runs := 0, 0
	g.accept = func(d *database, id, text string) {
		mu.Lock()
		defer mu.Unlock()
		at, found := sent[id]
		if !found {
			return
		}
		runs++
		if acknowledgedAt.IsZero() || at.Sub(acknowledgedAt) <= revokeTime {
			return
		}
		if late++; late <= 5 {
			f.record.note("late: %s runs %s %s, which was sent with the withdrawn key %.3f s after the acknowledgement", d.id, id, text, at.Sub(acknowledgedAt).Seconds())
		}
	}
	var stopped atomic.Bool
	var work sync.WaitGroup
	for i := range f.entries {
		for range openWriter {
			work.Go(func() {
				for !stopped.Load() {
					c, err := dialWithKey(f.entries[i].ip, openHost, secondKey)
					if err != nil {
						f.record.line("client at %s: START %s with the second key -> %v", f.entries[i].name, openHost, err)
						time.Sleep(200 * time.Millisecond)
						continue
					}
					for !stopped.Load() {
						id := newID()
						mu.Lock()
						sent[id] = time.Now()
						mu.Unlock()
						a, err := c.query(id, "WRITE 1a4 xkqpwnzd", 2*time.Second)
						f.record.line("client at %s: write %s with the second key -> %s %v", f.entries[i].name, id, a.code, err)
						if err != nil {
							break
						}
						time.Sleep(50 * time.Millisecond)
					}
					c.close()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	f.record.note("before the disruption, %d writes with the second key have run", runs)
	enough := runs > 0
	mu.Unlock()
	if !enough {
		return cannotRun, nil
	}
	frozen := f.entries[0]
	if trouble {
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return cannotRun, err
		}
		f.record.note("%s stands still", frozen.name)
		time.AfterFunc(entryFreeze, func() {
			_ = frozen.signal(syscall.SIGCONT)
			f.record.note("%s goes on", frozen.name)
		})
	}
	time.Sleep(entryLead)
	if err := configure(g.controls, openConfiguration(9, true)); err != nil {
		return cannotRun, err
	}
	mu.Lock()
	acknowledgedAt = time.Now()
	mu.Unlock()
	f.record.note("version 9 is acknowledged: the second key is gone, and the route needs a key")
	if trouble {
		for _, c := range f.controls {
			if err := c.signal(syscall.SIGKILL); err != nil {
				return cannotRun, err
			}
		}
		f.record.note("all control processes are killed")
	}
	time.Sleep(controlDown)
	if trouble {
		for _, c := range f.controls {
			if err := c.start(); err != nil {
				return cannotRun, err
			}
		}
		f.record.note("all control processes start again")
	}
	time.Sleep(3 * time.Second)
	stopped.Store(true)
	work.Wait()
	if late > 0 {
		f.record.note("CONFIG is broken: %d requests with the withdrawn key ran that were sent later than %v after the acknowledgement", late, revokeTime)
		return broken, nil
	}
	f.record.note("CONFIG held")
	return held, nil
}
