package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	firstControls = 4
	// settleTime is the time from the end of one control process to the next replacement.
	settleTime   = 8 * time.Second
	configApply  = 3 * time.Second
	lookTime     = 15 * time.Second
	lookInterval = 2 * time.Second
)

// coreTurnover replaces the control processes one after the other, the leader last, and then changes the configuration: the open route board
// is dropped, and the open route fresh is added.
func coreTurnover(rec *record, binary string, trouble bool) (string, error) {
	f, err := newFleetOf(rec, binary, firstControls, []string{"raquira", "bogota-norte"}, []string{"raquira", "bogota-norte", "tunja"})
	defer f.close()
	if err != nil {
		return "", err
	}
	if err := f.configure(7, tenantCount, f.route("r-4", "board", "bounded_staleness", 1500, true)); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(calmBefore)
	for range firstControls {
		if trouble {
			if err := f.replaceControl(f.nextVictim()); err != nil {
				return "", err
			}
		}
		time.Sleep(settleTime)
	}
	if err := f.configure(9, tenantCount, f.route("r-5", "fresh", "bounded_staleness", 1500, true)); err != nil {
		return "", err
	}
	acked := time.Now()
	time.Sleep(configApply + time.Second)
	ran, missing, keyed := 0, 0, 0
	for time.Since(acked) < lookTime {
		for _, p := range f.entries {
			after := time.Since(acked).Seconds()
			board, fresh, orders := f.look(p, "board"), f.look(p, "fresh"), f.look(p, "orders")
			rec.printf("%s, %.1f s after the acknowledgement: board (dropped) %s; fresh (added) %s; orders (with a key) %s", p.name, after, board, fresh, orders)
			if board == "served" {
				ran++
			}
			if strings.HasPrefix(fresh, "NODB") {
				missing++
			}
			if orders != "served" {
				keyed++
			}
		}
		time.Sleep(lookInterval)
	}
	rec.printf("%d requests ran on the dropped route, %d got NODB on the added one, %d with a key were not served", ran, missing, keyed)
	if ran+missing == 0 {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: later than %d ms after the acknowledgement, %d requests ran on a dropped route and %d were refused with NODB on an added one",
		configApply.Milliseconds(), ran, missing), nil
}

// look sends one read in a session of its own, and returns what became of it.
func (f *fleet) look(p *process, database string) string {
	c, err := f.dial(p, database, "key-1")
	if err != nil {
		return strings.TrimPrefix(err.Error(), startFailed)
	}
	defer c.close()
	if a := c.query(newID(), "READ cups"); a.code != "" {
		return a.code + " " + a.detail
	}
	return "served"
}

// nextVictim returns one of the first control processes that does not lead, or else the one that does.
func (f *fleet) nextVictim() *process {
	var leader *process
	for _, p := range f.controls[:firstControls] {
		switch {
		case p.gone:
		case leads(p):
			leader = p
		default:
			return p
		}
	}
	return leader
}

// leads reports whether the last change of the leader in a process's log names that process.
func leads(p *process) bool {
	data, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return false
	}
	last := ""
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, `"leaderChanged"`) {
			last = line
		}
	}
	return strings.Contains(last, `"self":true`)
}
