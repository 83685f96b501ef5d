package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one entry of a database's log. Its number is its place in the log, counted from 1.
type commit struct {
	term   uint64
	writes []string
}

// group is the databases of one service, and what the platform does to them.
type group struct {
	record   *record
	service  string
	sync     int
	controls []string
	// promoteTime is how long a promoted database takes to lead. networkDelay is that of replication.
	promoteTime, networkDelay time.Duration
	// accept is called when a database is about to run a statement of a client.
	accept func(d *database, id, text string)
	// promoted is called with the database that takes over, before anything is rolled back.
	promoted func(d *database)

	mu        sync.Mutex
	changed   *sync.Cond
	databases []*database
	leader    *database
	term      uint64
	lastFence uint64
	// target is the database that the last accepted call named.
	target *database
	// acknowledged holds the ids of the writes whose commit a primary has acknowledged.
	acknowledged map[string]bool
}

// database is one database of a group. Its state is protected by the lock of the group.
type database struct {
	group    *group
	id, ip   string
	zone     string
	slots    int
	busy     int
	queued   int
	conns    map[net.Conn]bool
	listener net.Listener
	sequence uint64
	born     int64
	lastNode int

	running  bool
	draining bool
	term     uint64
	log      []commit
	applied  int
	// applyLag is how much later commits are applied than received. A deaf database receives nothing.
	applyLag time.Duration
	deaf     bool
}

func newGroup(rec *record, service string, controls []string) *group {
	g := &group{
		record: rec, service: service, controls: controls, promoteTime: 600 * time.Millisecond, networkDelay: time.Millisecond,
		term: 3, acknowledged: map[string]bool{},
	}
	g.changed = sync.NewCond(&g.mu)
	return g
}

func (g *group) add(id, ip, zone string) (*database, error) {
	d := &database{
		group: g, id: id, ip: ip, zone: zone, slots: 3, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli(), running: true, term: g.term,
		applyLag: 8 * time.Millisecond,
	}
	l, err := net.Listen("tcp", address(ip, databasePort))
	if err != nil {
		return nil, err
	}
	d.listener = l
	g.mu.Lock()
	g.databases = append(g.databases, d)
	if g.leader == nil {
		g.leader = d
	}
	g.mu.Unlock()
	go d.accept()
	go d.announceLoop()
	return d, nil
}

// crash ends a database at once: its connections break, and new ones are refused.
func (d *database) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.running = false
	d.listener.Close()
	for c := range d.conns {
		c.Close()
	}
	d.group.changed.Broadcast()
}

func (d *database) leads() bool { return d.running && d.group.leader == d }

// append adds a commit to the log of the primary and sends it to the replicas. It is called with the lock held.
func (d *database) append(writes []string) int {
	g := d.group
	d.log = append(d.log, commit{term: d.term, writes: writes})
	d.applied = len(d.log)
	number := len(d.log)
	term := d.term
	time.AfterFunc(g.networkDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range g.databases {
			if r != d && g.leader == d && d.term == term {
				r.receive(d)
			}
		}
	})
	return number
}

// receive takes over what the primary's log holds. It is called with the lock held.
func (r *database) receive(from *database) {
	if !r.running || r.deaf || len(r.log) >= len(from.log) && r.term == from.term {
		return
	}
	r.term = from.term
	r.log = append([]commit(nil), from.log...)
	number := len(r.log)
	r.group.changed.Broadcast()
	time.AfterFunc(r.applyLag, func() {
		r.group.mu.Lock()
		defer r.group.mu.Unlock()
		r.applied = max(r.applied, min(number, len(r.log)))
	})
}

// hear ends a deafness. It is called without the lock.
func (r *database) hear() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.deaf = false
	if leader := r.group.leader; leader != nil && leader != r {
		r.receive(leader)
	}
}

// confirmed reports whether enough replicas have received a commit. It is called with the lock held.
func (g *group) confirmed(from *database, number int) bool {
	n := 0
	for _, r := range g.databases {
		if r != from && r.running && r.term == from.term && len(r.log) >= number {
			n++
		}
	}
	return n >= g.sync
}

// promote makes a database lead the next term with what it has received.
func (g *group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.lastFence {
		return http.StatusConflict
	}
	g.lastFence = fence
	for _, d := range g.databases {
		if d.id != id || !d.running {
			continue
		}
		if d == g.leader {
			return http.StatusOK
		}
		g.target = d
		time.AfterFunc(g.promoteTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			// A newer call may have named another database, or an earlier one for this database has taken effect.
			if g.target != d || g.leader == d || !d.running {
				return
			}
			g.takeOver(d)
		})
		return http.StatusOK
	}
	return http.StatusConflict
}

// takeOver is called with the lock held.
func (g *group) takeOver(d *database) {
	if g.promoted != nil {
		g.promoted(d)
	}
	g.term++
	g.leader = d
	d.term, d.deaf, d.applied = g.term, false, len(d.log)
	for _, r := range g.databases {
		if r != d && r.running && !r.deaf {
			r.term, r.log = d.term, append([]commit(nil), d.log...)
			r.applied = min(r.applied, len(r.log))
		}
	}
	g.changed.Broadcast()
	for _, r := range g.databases {
		go r.announce()
	}
}

// has reports whether the log holds a write. It is called with the lock held.
func (d *database) has(id string) bool {
	for _, c := range d.log {
		for _, w := range c.writes {
			if w == id {
				return true
			}
		}
	}
	return false
}

func (d *database) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		d.conns[c] = true
		d.group.mu.Unlock()
		go func() {
			d.serve(c)
			c.Close()
			d.group.mu.Lock()
			delete(d.conns, c)
			d.group.mu.Unlock()
		}()
	}
}

// dbSession is one connection to a database.
type dbSession struct {
	d        *database
	open     bool
	readOnly bool
	failed   bool
	writes   []string
	shapes   map[string]string
}

func (d *database) serve(c net.Conn) {
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != d.group.service || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", d.id)
		return
	}
	time.Sleep(3 * time.Millisecond)
	fmt.Fprintf(c, "READY I %s\r\n", d.position())
	s := &dbSession{d: d, shapes: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if !strings.HasPrefix(line, "QUERY ") {
			return
		}
		id, text, _ := strings.Cut(line[len("QUERY "):], " ")
		answer := s.run(id, text)
		state := "I"
		if s.open {
			state = "T"
			if s.failed {
				state = "E"
			}
		}
		d.group.mu.Lock()
		running := d.running
		d.group.mu.Unlock()
		if !running {
			return
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, state, d.position()); err != nil {
			return
		}
	}
}

// position is the end of what the database has applied.
func (d *database) position() string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return fmt.Sprintf("%d.%d", d.term, d.applied)
}

func (s *dbSession) refuse(code string) string {
	if s.open {
		s.failed = true
	}
	return "ERROR " + code + " " + s.d.id + "\r\n"
}

const maxQueued = 24

// slot waits for a slot and works in it for a time. It reports false if too many others wait.
func (d *database) slot(work time.Duration) bool {
	g := d.group
	g.mu.Lock()
	if d.busy >= d.slots && d.queued >= maxQueued {
		g.mu.Unlock()
		return false
	}
	d.queued++
	for d.busy >= d.slots && d.running {
		g.changed.Wait()
	}
	d.queued--
	d.busy++
	g.mu.Unlock()
	time.Sleep(work)
	g.mu.Lock()
	d.busy--
	g.changed.Broadcast()
	g.mu.Unlock()
	return true
}

func (s *dbSession) run(id, text string) string {
	d, g := s.d, s.d.group
	word, rest, _ := strings.Cut(text, " ")
	after := ""
	if word == "AFTER" {
		after, text, _ = strings.Cut(rest, " ")
		word, rest, _ = strings.Cut(text, " ")
	}
	ok := "COMPLETE -\r\n"
	switch word {
	case "STATUS":
		return d.status()
	case "DEMOTE":
		g.mu.Lock()
		if g.leader == d {
			g.leader = nil
		}
		g.mu.Unlock()
		go d.announce()
		return d.statusRow()
	case "SET", "RESET", "DEALLOC":
		if word == "RESET" {
			s.shapes = map[string]string{}
		}
		return ok
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.shapes[name] = shape
		return ok
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil
		return ok
	}
	if s.failed {
		return "ERROR MALFORMED transaction failed\r\n"
	}
	g.mu.Lock()
	leads, lacks := d.leads(), after != "" && d.lacks(after)
	g.mu.Unlock()
	switch {
	case lacks:
		return s.refuse("LAGGING")
	case word == "BEGIN":
		if rest != "READ" && !leads {
			return s.refuse("READONLY")
		}
		s.open, s.failed, s.readOnly, s.writes = true, false, rest == "READ", nil
		return ok
	case s.open && !s.readOnly && !leads && !(word == "COMMIT" && len(s.writes) == 0):
		return s.refuse("READONLY")
	case !s.open && word == "WRITE" && !leads:
		return s.refuse("READONLY")
	}
	if g.accept != nil {
		g.accept(d, id, text)
	}
	work := 6 * time.Millisecond
	if word == "READ" {
		work = 30 * time.Millisecond
	}
	if !d.slot(work) {
		return s.refuse("BUSY")
	}
	signature := fmt.Sprintf("COMPLETE %s.%x\r\n", d.id, rand.Uint64())
	switch word {
	case "READ":
		return "ROW " + rest + "\r\n" + signature
	case "WRITE":
		if s.open {
			s.writes = append(s.writes, id)
			return signature
		}
		return s.commit([]string{id}, signature)
	case "COMMIT":
		writes := s.writes
		s.open, s.writes = false, nil
		if len(writes) == 0 {
			return signature
		}
		return s.commit(writes, signature)
	}
	return s.refuse("MALFORMED")
}

// commit waits until the replicas have confirmed the commit.
func (s *dbSession) commit(writes []string, signature string) string {
	d, g := s.d, s.d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.leads() {
		return s.refuse("READONLY")
	}
	term := d.term
	number := d.append(writes)
	for !g.confirmed(d, number) {
		if !d.leads() || d.term != term {
			return "ERROR TIMEOUT not confirmed\r\n"
		}
		g.changed.Wait()
	}
	if !d.leads() {
		return "ERROR TIMEOUT not confirmed\r\n"
	}
	for _, w := range writes {
		g.acknowledged[w] = true
	}
	return signature
}

// lacks is called with the lock held.
func (d *database) lacks(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	return d.term < t || d.applied < n
}

// status answers STATUS, which takes a slot: BUSY if all are taken.
func (d *database) status() string {
	d.group.mu.Lock()
	full := d.busy >= d.slots
	applied, received := d.applied, len(d.log)
	d.group.mu.Unlock()
	if full {
		d.group.record.note("STATUS at %s: BUSY (received %d, applied %d)", d.id, received, applied)
		return "ERROR BUSY " + d.id + "\r\n"
	}
	d.group.record.note("STATUS at %s: received %d, applied %d", d.id, received, applied)
	return d.statusRow()
}

func (d *database) statusRow() string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	role := "replica"
	if d.leads() {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %d.%d 0 %d %d %d\r\nCOMPLETE -\r\n", role, d.term, d.term, len(d.log), d.applyLag.Milliseconds(), d.busy, len(d.conns))
}

// heartbeatInterval is the interval between announcements.
const heartbeatInterval = 1200 * time.Millisecond

func (d *database) announceLoop() {
	for {
		d.announce()
		time.Sleep(heartbeatInterval)
		d.group.mu.Lock()
		running := d.running
		d.group.mu.Unlock()
		if !running {
			return
		}
	}
}

var announcer = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// announce sends one heartbeat, to the node that answered last, or else to the next ones. It returns when one was acknowledged.
func (d *database) announce() time.Time {
	g := d.group
	g.mu.Lock()
	if !d.running {
		g.mu.Unlock()
		return time.Time{}
	}
	d.sequence++
	state, role := "ready", "replica"
	if d.draining {
		state = "draining"
	}
	if d.leads() {
		role = "primary"
	}
	body, _ := json.Marshal(map[string]any{
		"service": g.service, "address": address(d.ip, databasePort), "zone": d.zone, "version": "v1", "slots": d.slots, "state": state, "coldLeftMs": 0,
		"dbRole": role, "seqNo": d.sequence, "born": d.born,
	})
	node := d.lastNode
	g.mu.Unlock()
	for try := range len(g.controls) {
		at := (node + try) % len(g.controls)
		request, _ := http.NewRequest(http.MethodPut, "http://"+g.controls[at]+"/lentilwind/instances/"+d.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := announcer.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			g.mu.Lock()
			d.lastNode = at
			g.mu.Unlock()
			return time.Now()
		}
	}
	return time.Time{}
}
