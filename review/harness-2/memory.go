package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Size of the crowds, and how long they go on.
const (
	crowdSessions  = 100
	crowdWriters   = 8
	crowdTime      = 80 * time.Second
	calmTime       = 30 * time.Second
	endsThatBreak  = 3 // on each of two machines
	longFieldBytes = 1_000_000
	tenantCount    = 8
)

// memoryScenario runs callers against two entries until the processes of both have ended three times, or the time is over.
func memoryScenario(rec *record, binary string, trouble bool, attack func(f *fleet, p *process, stop <-chan struct{})) (string, error) {
	f, err := newFleet(rec, binary, []string{"raquira", "raquira"}, []string{"raquira", "bogota-norte", "tunja"})
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
	var running sync.WaitGroup
	for _, p := range f.entries {
		running.Go(func() {
			for !closed(stop) {
				attack(f, p, stop)
				time.Sleep(200 * time.Millisecond)
			}
		})
		running.Go(func() { f.ordinaryCaller(p, stop) })
	}
	limit := crowdTime
	if !trouble {
		limit = calmTime
	}
	for end := time.Now().Add(limit); time.Now().Before(end) && !f.allEnded(endsThatBreak); time.Sleep(100 * time.Millisecond) {
	}
	close(stop)
	running.Wait()
	var ends []string
	for _, p := range f.entries {
		p.mu.Lock()
		ends = append(ends, fmt.Sprintf("%s ended %d times (%d for its memory)", p.name, p.kills+p.ends, p.kills))
		p.mu.Unlock()
	}
	rec.printf("%s", strings.Join(ends, ", "))
	if f.allEnded(endsThatBreak) {
		return "Fault: with no disruption on the machines, " + strings.Join(ends, ", "), nil
	}
	return "", nil
}

func (f *fleet) allEnded(times int) bool {
	for _, p := range f.entries {
		p.mu.Lock()
		ended := p.kills+p.ends >= times
		p.mu.Unlock()
		if !ended {
			return false
		}
	}
	return true
}

func closed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// ordinaryCaller sends one read after the other, each in a session of its own.
func (f *fleet) ordinaryCaller(p *process, stop <-chan struct{}) {
	served, lost, refused := 0, 0, 0
	for !closed(stop) {
		c, err := f.dial(p, "orders", "key-1")
		switch {
		case err != nil:
			refused++
		case c.query(newID(), "READ cups").code == "":
			served++
		default:
			lost++
		}
		if c != nil {
			c.close()
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.rec.printf("ordinary callers at %s: %d served, %d not answered or failed, %d without a session", p.name, served, lost, refused)
}

// longIDs opens a crowd of sessions, each of which sends four messages of legal size and reads the answers. The sessions stay open.
func longIDs(rec *record, binary string, trouble bool) (string, error) {
	id := newID()
	if trouble {
		id = strings.Repeat("x", longFieldBytes)
	}
	return memoryScenario(rec, binary, trouble, func(f *fleet, p *process, stop <-chan struct{}) {
		sessions, answers := make([]*client, crowdSessions), make([]int, crowdWriters)
		var writers sync.WaitGroup
		for w := range crowdWriters {
			writers.Go(func() {
				for i := w; i < crowdSessions && !closed(stop); i += crowdWriters {
					c, err := f.dial(p, "orders", fmt.Sprintf("key-%d", i%tenantCount+1))
					if err != nil {
						return
					}
					sessions[i] = c
					for range 4 {
						if a := c.query(id, "DEALLOC s1"); a.code != "" {
							return
						}
						answers[w]++
					}
				}
			})
		}
		writers.Wait()
		total := 0
		for _, n := range answers {
			total += n
		}
		f.rec.printf("crowd at %s: %d messages with ids of %d bytes are answered; the process uses %d MB", p.name, total, len(id), f.residentMb(p))
		for _, c := range sessions {
			if c != nil {
				c.close()
			}
		}
	})
}

func (f *fleet) residentMb(p *process) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return residentMb(p.cmd.Process.Pid)
}

// preparedTexts opens one transaction for each tenant, in which one prepared statement after the other is prepared, run and given up.
func preparedTexts(rec *record, binary string, trouble bool) (string, error) {
	size := 16
	if trouble {
		size = longFieldBytes
	}
	return memoryScenario(rec, binary, trouble, func(f *fleet, p *process, stop <-chan struct{}) {
		var callers sync.WaitGroup
		for t := range tenantCount {
			callers.Go(func() {
				c, err := f.dial(p, "orders", fmt.Sprintf("key-%d", t+1))
				if err != nil {
					return
				}
				defer c.close()
				if a := c.query(newID(), "BEGIN"); a.code != "" {
					return
				}
				n := 0
				for ; n < 200 && !closed(stop); n++ {
					shape := fmt.Sprintf("%06d", n) + strings.Repeat("q", size)
					if c.query(newID(), "PREPARE s1 READ "+shape).code != "" || c.query(newID(), "EXECUTE s1 cups").code != "" || c.query(newID(), "DEALLOC s1").code != "" {
						break
					}
				}
				c.query(newID(), "ROLLBACK")
				f.rec.printf("caller of t-%d at %s: %d statements with texts of %d bytes ran in one transaction; the process uses %d MB", t+1, p.name, n, size, f.residentMb(p))
			})
		}
		callers.Wait()
	})
}

// malformedStatements opens a crowd of sessions that send one malformed statement of legal size each, at once, and read no answer.
func malformedStatements(rec *record, binary string, trouble bool) (string, error) {
	text := "x"
	if trouble {
		text = strings.Repeat("\x01", longFieldBytes)
	}
	return memoryScenario(rec, binary, trouble, func(f *fleet, p *process, stop <-chan struct{}) {
		var senders sync.WaitGroup
		var sessions [crowdSessions]*client
		for i := range crowdSessions {
			if c, err := f.dial(p, "orders", fmt.Sprintf("key-%d", i%tenantCount+1)); err == nil {
				sessions[i] = c
			}
		}
		for _, c := range sessions {
			if c == nil {
				continue
			}
			senders.Go(func() {
				_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
				_, _ = fmt.Fprintf(c.conn, "QUERY %s BEGIN %s\r\n", newID(), text)
			})
		}
		senders.Wait()
		time.Sleep(time.Second)
		f.rec.printf("crowd at %s: each sent a malformed statement of %d bytes; the process uses %d MB", p.name, len(text), f.residentMb(p))
		for _, c := range sessions {
			if c != nil {
				c.close()
			}
		}
	})
}
