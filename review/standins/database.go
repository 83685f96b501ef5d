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
	"sync/atomic"
	"time"
)

// Figures of the site: slots and connections of a database, the time of a new connection, of a statement, of replication and of a promote.
const (
	slotsPerDatabase = 3
	maxConnections   = 23
	handshakeTime    = 12 * time.Millisecond
	statementTime    = 6 * time.Millisecond
	replicaLag       = 8 * time.Millisecond
	networkDelay     = time.Millisecond
	promoteTime      = 600 * time.Millisecond
	heartbeatPeriod  = 1200 * time.Millisecond
	// darkTimeout is how long a database keeps a connection whose far end is dark.
	darkTimeout = 3 * time.Second
	firstTerm   = 3
)

// entry is one committed transaction of a log.
type entry struct {
	term, number int
	writes       []write
	at           time.Time
}

type write struct{ item, data, id string }

// run is one statement of a client that a database has run.
type run struct {
	database, tenant, id, text string
	connection                 int64
	// opener is the id of the first statement of the transaction in which it ran, empty outside a transaction.
	opener string
	at     time.Time
	ok     bool
	// lastCommit is the position of the log on which a read ran.
	value string
}

// group is one service: a primary and its replicas. It also carries out the platform's order to promote.
type group struct {
	rec     *recorder
	service string

	mu        sync.Mutex
	term      int
	databases []*database
	runs      []run
	// committed maps the id of a write to the id of the statement that committed it.
	committed map[string]string
	tokens    uint64
	lastConn  int64
	controls  func() []string
	done      chan struct{}
}

// database is one database of a group.
type database struct {
	g        *group
	id, zone string
	listener net.Listener
	born     int64
	slots    chan struct{}
	conns    atomic.Int64
	changed  chan struct{}

	// The fields below are guarded by the group's lock.
	log        []*entry
	receivedAt []time.Time
	leads      bool
	// cut means that the database is partitioned from the core and from the other databases, but not from the fronts.
	cut bool
}

func newGroup(rec *recorder, service string, ip string, zones []string, primary int, controls func() []string) (*group, error) {
	g := &group{rec: rec, service: service, term: firstTerm, committed: make(map[string]string), controls: controls, done: make(chan struct{})}
	var initial []*entry
	for i := range 20 {
		initial = append(initial, &entry{term: firstTerm, number: i + 1, writes: []write{{item: fmt.Sprintf("item%d", i), data: "initial"}}})
	}
	for i, zone := range zones {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		d := &database{
			g: g, id: fmt.Sprintf("i-%s-%d", zone, i), zone: zone, listener: listener, born: time.Now().UnixMilli(),
			slots: make(chan struct{}, slotsPerDatabase), changed: make(chan struct{}, 1), leads: i == primary,
		}
		d.log = append(d.log, initial...)
		d.receivedAt = make([]time.Time, len(initial))
		g.databases = append(g.databases, d)
	}
	for _, d := range g.databases {
		go d.accept()
		go d.replicate()
		go d.announce()
	}
	return g, nil
}

func (g *group) close() {
	close(g.done)
	for _, d := range g.databases {
		_ = d.listener.Close()
	}
}

func (g *group) primaryLocked() *database {
	for _, d := range g.databases {
		if d.leads {
			return d
		}
	}
	return nil
}

// primary returns the present primary, or nil.
func (g *group) primary() *database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked()
}

func (g *group) setCut(d *database, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.cut = cut
}

func (d *database) isCut() bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.cut
}

// replicate receives the log of the primary.
func (d *database) replicate() {
	for {
		select {
		case <-d.g.done:
			return
		case <-time.After(networkDelay):
		}
		d.g.mu.Lock()
		p := d.g.primaryLocked()
		if p != nil && p != d && !p.cut && !d.cut {
			same := min(len(d.log), len(p.log))
			for same > 0 && d.log[same-1] != p.log[same-1] {
				same--
			}
			d.log, d.receivedAt = d.log[:same:same], d.receivedAt[:same:same]
			for _, e := range p.log[same:] {
				d.log = append(d.log, e)
				d.receivedAt = append(d.receivedAt, time.Now())
			}
		}
		d.g.mu.Unlock()
	}
}

// appliedLocked returns the part of the log that reads see.
func (d *database) appliedLocked() []*entry {
	if d.leads {
		return d.log
	}
	n := len(d.log)
	for n > 0 && time.Since(d.receivedAt[n-1]) < replicaLag {
		n--
	}
	return d.log[:n]
}

func position(log []*entry) string {
	if len(log) == 0 {
		return "-"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// commitLocked appends a commit to the log of the primary.
func (d *database) commitLocked(writes []write, by string) {
	number := 1
	if len(d.log) > 0 {
		number = d.log[len(d.log)-1].number + 1
	}
	d.log = append(d.log, &entry{term: d.g.term, number: number, writes: writes, at: time.Now()})
	d.receivedAt = append(d.receivedAt, time.Time{})
	for _, w := range writes {
		d.g.committed[w.id] = by
	}
	d.g.rec.printf("database %s committed %v by statement %s at %s", d.id, writes, by, position(d.log))
}

// announce sends heartbeats to control.
func (d *database) announce() {
	client := http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		if !d.isCut() {
			d.g.mu.Lock()
			role := "replica"
			if d.leads {
				role = "primary"
			}
			d.g.mu.Unlock()
			body, _ := json.Marshal(map[string]any{
				"service": d.g.service, "address": d.listener.Addr().String(), "zone": d.zone, "version": "v1", "slots": slotsPerDatabase,
				"state": "ready", "coldLeftMs": 0, "dbRole": role, "seqNo": sequence, "born": d.born,
			})
			controls := d.g.controls()
			for i := range controls {
				url := "http://" + controls[(sequence+i)%len(controls)] + "/lentilwind/instances/" + d.id
				request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
				if err != nil {
					continue
				}
				request.Header.Set("Content-Type", "application/json")
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				_ = response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
		}
		select {
		case <-d.g.done:
			return
		case <-d.changed:
		case <-time.After(heartbeatPeriod):
		}
	}
}

// ServeHTTP carries out POST /promote. It checks fencing tokens.
func (g *group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if r.Method != http.MethodPost || r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var chosen *database
	for _, d := range g.databases {
		if d.id == body.ID {
			chosen = d
		}
	}
	if token < g.tokens || chosen == nil || body.Service != g.service {
		g.rec.printf("platform refused the promote of %s by %s with token %d", body.ID, r.Header.Get("X-Duty-Holder"), token)
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.tokens = token
	if chosen.leads {
		return
	}
	g.rec.printf("platform accepted the promote of %s by %s with token %d", body.ID, r.Header.Get("X-Duty-Holder"), token)
	time.AfterFunc(promoteTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.tokens != token || chosen.leads {
			return
		}
		if former := g.primaryLocked(); former != nil {
			former.leads = false
			g.rec.printf("database %s lost the lead at %s", former.id, position(former.log))
			notify(former.changed)
		}
		chosen.leads = true
		g.term++
		g.rec.printf("database %s leads term %d from %s on", chosen.id, g.term, position(chosen.log))
		notify(chosen.changed)
	})
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (d *database) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// transaction is an open transaction at a database.
type transaction struct {
	plain, failed bool
	opener        string
	writes        []write
}

// backendSession is one connection to a database.
type backendSession struct {
	d        *database
	number   int64
	tenant   string
	tx       *transaction
	values   map[string]string
	prepared map[string][2]string
}

// controlName is the name with which the system's core connects; clients' work comes with the name of a tenant.
const controlName = "-"

// awaitLink blocks while the far end is partitioned from the database. It returns false if the database has dropped the connection.
func (s *backendSession) awaitLink() bool {
	if s.tenant != controlName {
		return true
	}
	for start := time.Now(); s.d.isCut(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > darkTimeout {
			for s.d.isCut() {
				time.Sleep(5 * time.Millisecond)
			}
			return false
		}
	}
	return true
}

func (d *database) serve(conn net.Conn) {
	d.conns.Add(1)
	s := &backendSession{d: d, values: make(map[string]string), prepared: make(map[string][2]string)}
	defer func() {
		d.conns.Add(-1)
		_ = conn.Close()
		if s.tx != nil && len(s.tx.writes) > 0 {
			d.g.rec.printf("database %s rolled back %v: connection %d ended", d.id, s.tx.writes, s.number)
		}
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != d.g.service || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", d.id)
		return
	}
	s.tenant = fields[2]
	if !s.awaitLink() {
		return
	}
	if d.conns.Load() > maxConnections {
		fmt.Fprintf(conn, "ERROR OVERLOAD %s\r\n", d.id)
		return
	}
	d.occupy(handshakeTime)
	d.g.mu.Lock()
	d.g.lastConn++
	s.number = d.g.lastConn
	ready := s.readyLocked()
	d.g.mu.Unlock()
	if _, err := conn.Write([]byte(ready)); err != nil {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.awaitLink() {
			return
		}
		if _, err := conn.Write([]byte(s.query(id, text))); err != nil {
			return
		}
	}
}

// occupy takes a slot for some time.
func (d *database) occupy(duration time.Duration) {
	d.slots <- struct{}{}
	time.Sleep(duration)
	<-d.slots
}

func (s *backendSession) readyLocked() string {
	state := "I"
	switch {
	case s.tx != nil && s.tx.failed:
		state = "E"
	case s.tx != nil:
		state = "T"
	}
	return fmt.Sprintf("READY %s %s\r\n", state, position(s.d.appliedLocked()))
}

func (s *backendSession) failLocked(code string) string {
	if s.tx != nil {
		s.tx.failed = true
	}
	return fmt.Sprintf("ERROR %s %s\r\n%s", code, s.d.id, s.readyLocked())
}

func (s *backendSession) doneLocked(rows string) string {
	signature := fmt.Sprintf("%d.%x.%x", s.d.g.term, s.number, rand.Uint64())
	return rows + "COMPLETE " + signature + "\r\n" + s.readyLocked()
}

func (s *backendSession) query(id, text string) string {
	verb, _, _ := strings.Cut(text, " ")
	switch verb {
	case "AFTER", "READ", "WRITE", "EXECUTE", "COMMIT", "STATUS":
		if !strings.Contains(text, "BEGIN") {
			s.d.occupy(statementTime)
		}
	}
	g := s.d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if after, found := strings.CutPrefix(text, "AFTER "); found {
		wanted, rest, _ := strings.Cut(after, " ")
		if !covers(position(s.d.appliedLocked()), wanted) {
			return s.failLocked("LAGGING")
		}
		text = rest
	}
	fields := strings.Split(text, " ")
	switch {
	case s.tx != nil && s.tx.failed && fields[0] != "ROLLBACK" && fields[0] != "COMMIT":
		return s.failLocked("MALFORMED")
	case s.tx != nil && s.tx.plain && !s.d.leads && fields[0] != "ROLLBACK" && fields[0] != "COMMIT":
		return s.failLocked("READONLY")
	}
	switch fields[0] {
	case "BEGIN":
		if s.tx != nil {
			return s.failLocked("MALFORMED")
		}
		plain := len(fields) == 1
		if plain && !s.d.leads {
			return s.failLocked("READONLY")
		}
		s.tx = &transaction{plain: plain}
	case "ROLLBACK":
		if s.tx != nil && len(s.tx.writes) > 0 {
			g.rec.printf("database %s rolled back %v on connection %d", s.d.id, s.tx.writes, s.number)
		}
		s.tx = nil
	case "COMMIT":
		return s.commitTransactionLocked(id)
	case "SET":
		s.values[fields[1]] = strings.Join(fields[2:], " ")
	case "RESET":
		s.values, s.prepared = make(map[string]string), make(map[string][2]string)
	case "PREPARE":
		s.prepared[fields[1]] = [2]string{fields[2], strings.Join(fields[3:], " ")}
	case "DEALLOC":
		delete(s.prepared, fields[1])
	case "STATUS", "DEMOTE", "SUSPEND", "RESUME":
		return s.statusLocked(fields)
	case "EXECUTE":
		prepared, found := s.prepared[fields[1]]
		if !found {
			return s.failLocked("NOSTMT")
		}
		return s.readOrWriteLocked(id, text, append([]string{prepared[0]}, fields[2:]...))
	case "READ", "WRITE":
		return s.readOrWriteLocked(id, text, fields)
	default:
		return s.failLocked("MALFORMED")
	}
	return "COMPLETE -\r\n" + s.readyLocked()
}

func (s *backendSession) statusLocked(fields []string) string {
	if fields[0] == "DEMOTE" && len(fields) > 1 {
		if term, err := strconv.Atoi(fields[1]); err == nil && s.d.leads && term > s.d.g.term {
			s.d.leads = false
			s.d.g.rec.printf("database %s was demoted", s.d.id)
			notify(s.d.changed)
		}
	}
	role := "replica"
	if s.d.leads {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %s 0 %d %d %d\r\n", role, s.d.g.term, position(s.d.log), replicaLag.Milliseconds(), len(s.d.slots), s.d.conns.Load())
	return row + "COMPLETE -\r\n" + s.readyLocked()
}

// noteLocked records a statement of a client.
func (s *backendSession) noteLocked(id, text, value string, ok bool) {
	opener := ""
	if s.tx != nil {
		if s.tx.opener == "" && id != "-" {
			s.tx.opener = id
		}
		opener = s.tx.opener
	}
	if id == "-" {
		return
	}
	s.d.g.runs = append(s.d.g.runs, run{
		database: s.d.id, tenant: s.tenant, id: id, text: text, connection: s.number, opener: opener, at: time.Now(), ok: ok, value: value,
	})
	s.d.g.rec.printf("database %s ran %s %q for tenant %s on connection %d, transaction of %q, ok %t, log %s",
		s.d.id, id, text, s.tenant, s.number, opener, ok, position(s.d.appliedLocked()))
}

func (s *backendSession) readOrWriteLocked(id, text string, fields []string) string {
	if fields[0] == "READ" && len(fields) > 1 {
		value := "none"
		for _, e := range s.d.appliedLocked() {
			for _, w := range e.writes {
				if w.item == fields[1] {
					value = w.data
				}
			}
		}
		s.noteLocked(id, text, value, true)
		return s.doneLocked("ROW " + value + "\r\n")
	}
	if len(fields) < 3 {
		return s.failLocked("MALFORMED")
	}
	if !s.d.leads || s.tx != nil && !s.tx.plain {
		return s.failLocked("READONLY")
	}
	s.noteLocked(id, text, "", true)
	w := write{fields[1], strings.Join(fields[2:], " "), id}
	if s.tx != nil {
		s.tx.writes = append(s.tx.writes, w)
	} else {
		s.d.commitLocked([]write{w}, id)
	}
	return s.doneLocked("")
}

func (s *backendSession) commitTransactionLocked(id string) string {
	tx := s.tx
	switch {
	case tx == nil:
		return s.failLocked("MALFORMED")
	case tx.failed:
		s.tx = nil
		return s.failLocked("ABORTED")
	case len(tx.writes) > 0 && !s.d.leads:
		s.tx = nil
		return s.failLocked("READONLY")
	}
	s.noteLocked(id, "COMMIT", "", true)
	s.tx = nil
	if len(tx.writes) > 0 {
		s.d.commitLocked(tx.writes, id)
	}
	return s.doneLocked("")
}

// covers reports whether a log that ends at one position holds another one.
func covers(have, wanted string) bool {
	haveTerm, haveNumber := parsePosition(have)
	wantedTerm, wantedNumber := parsePosition(wanted)
	return haveTerm > wantedTerm || haveTerm == wantedTerm && haveNumber >= wantedNumber
}

func parsePosition(text string) (term, number int) {
	t, n, _ := strings.Cut(text, ".")
	term, _ = strconv.Atoi(t)
	number, _ = strconv.Atoi(n)
	return term, number
}
