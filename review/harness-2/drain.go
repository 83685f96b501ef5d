package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Times of the planned release of a primary.
const (
	calmBefore = 6 * time.Second
	// lingerTime is how long the database goes on serving after drainMs: "a little longer (at times many seconds)".
	lingerTime  = 3 * time.Second
	requestTime = 100 * time.Millisecond
)

// drainWithoutPlatform lets the primary announce that it leaves. With trouble, the platform is down meanwhile.
func drainWithoutPlatform(rec *record, binary string, trouble bool) (string, error) {
	f, err := newFleet(rec, binary, []string{"raquira", "bogota-norte", "tunja"}, []string{"raquira", "bogota-norte", "tunja"})
	defer f.close()
	if err != nil {
		return "", err
	}
	if err := f.configure(7, tenantCount); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, p := range f.entries {
		for t := range 2 {
			callers.Go(func() { f.orderCaller(p, fmt.Sprintf("key-%d", 2*i+t+1), stop) })
		}
	}
	time.Sleep(calmBefore)
	if trouble {
		f.platform.down()
		rec.printf("platform: down")
	}
	leaving := f.group.members[0]
	leaving.leave()
	acked, err := leaving.awaitAcknowledgement()
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(acked.Add(drainTime + lingerTime)))
	leaving.shutdown()
	rec.printf("database %s: ends", leaving.id)
	if trouble {
		if err := f.platform.up(); err != nil {
			return "", err
		}
		rec.printf("platform: up")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	for _, p := range append(f.controls, f.entries...) {
		if p.ends+p.kills > 0 {
			return "", fmt.Errorf("%s ended", p.name)
		}
	}
	return judgeDrain(rec, leaving, acked), nil
}

func (d *databaseServer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = "draining"
	d.group.rec.printf("database %s: draining", d.id)
}

func (d *databaseServer) awaitAcknowledgement() (time.Time, error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		d.mu.Lock()
		acked := d.ackedAt
		d.mu.Unlock()
		if !acked.IsZero() {
			return acked, nil
		}
	}
	return time.Time{}, fmt.Errorf("the state draining of %s was never acknowledged", d.id)
}

// judgeDrain counts the single statements, and the first ones of transactions, that reached a database later than drainMs after it was
// acknowledged as draining.
func judgeDrain(rec *record, d *databaseServer, acked time.Time) string {
	late, before := 0, 0
	var last time.Duration
	for _, a := range d.arrivals {
		after := a.at.Sub(acked)
		switch {
		case !a.first:
		case after <= drainTime:
			before++
		default:
			late, last = late+1, after
			if late <= 10 {
				rec.printf("late: request %s (%s) of %s reaches %s %.3f s after the acknowledgement", a.id, a.text, a.connected, d.id, after.Seconds())
			}
		}
	}
	rec.printf("%s: %d requests up to %.0f s after the acknowledgement, %d later", d.id, before, drainTime.Seconds(), late)
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d requests reached %s later than %d ms after the acknowledgement, the last one %.3f s after it", late, d.id, drainTime.Milliseconds(), last.Seconds())
}

// orderCaller sends writes, reads and transactions on a route of kind primary. It closes its session after an error.
func (f *fleet) orderCaller(p *process, key string, stop <-chan struct{}) {
	counts := make(map[string]int)
	var c *client
	for !closed(stop) {
		if c == nil {
			var err error
			if c, err = f.dial(p, "orders", key); err != nil {
				counts["no session"]++
				time.Sleep(requestTime)
				continue
			}
		}
		statements := []string{"WRITE cups x"}
		switch rand.IntN(3) {
		case 1:
			statements = []string{"READ cups"}
		case 2:
			statements = []string{"BEGIN", "READ cups", "WRITE cups x", "COMMIT"}
		}
		code := "served"
		for _, text := range statements {
			a := c.query(newID(), text)
			if a.code == "" {
				continue
			}
			code = a.code
			if a.state != "I" && a.code != "lost" {
				c.query(newID(), "ROLLBACK")
			}
			if a.code == "lost" {
				c.close()
				c = nil
			}
			break
		}
		counts[code]++
		time.Sleep(requestTime)
	}
	if c != nil {
		c.close()
	}
	var parts []string
	for code, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", code, n))
	}
	f.rec.printf("caller with %s at %s: %s", key, p.name, strings.Join(parts, ", "))
}
