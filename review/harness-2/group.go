package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the stand-in databases, as the sheet of a small deployment gives them.
const (
	replicaLag        = 8 * time.Millisecond
	promoteDelay      = 600 * time.Millisecond
	statementWork     = 4 * time.Millisecond
	handshakeWork     = 12 * time.Millisecond
	databaseSlots     = 3
	maxMessageBytes   = 1 << 20
	heartbeatInterval = 1200 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// group is one service: a primary and its replicas, with one replicated log.
type group struct {
	service string
	rec     *record

	mu        sync.Mutex
	term      int
	number    int
	committed []commitEntry
	primary   *databaseServer
	members   []*databaseServer
	tokens    map[string]uint64
	commits   map[string]bool // the commits of transactions that wrote, by the caller's id
	loseEvery int             // the answer of each commit of that number is lost; 0 for none
}

type commitEntry struct {
	term, number int
	at           time.Time
}

// databaseServer is one stand-in database.
type databaseServer struct {
	group *group
	id    string
	zone  string
	addr  string
	born  int64
	ln    net.Listener
	slots chan struct{}

	mu       sync.Mutex
	state    string
	seq      uint64
	ackedAt  time.Time // when a control process acknowledged that this database is draining
	stopped  bool
	stop     chan struct{}
	conns    map[net.Conn]bool
	arrivals []arrival
}

// arrival is a caller's statement that reached a database.
type arrival struct {
	at        time.Time
	id, text  string
	first     bool // a single statement, or the first one of a transaction
	connected string
}

func newGroup(service string, rec *record) *group {
	return &group{service: service, rec: rec, term: 1, tokens: make(map[string]uint64), commits: make(map[string]bool)}
}

func (g *group) add(id, zone, ip string) (*databaseServer, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	d := &databaseServer{
		group: g, id: id, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(), ln: ln, state: "ready",
		slots: make(chan struct{}, databaseSlots), stop: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	g.mu.Lock()
	g.members = append(g.members, d)
	if g.primary == nil {
		g.primary = d
	}
	g.mu.Unlock()
	go d.accept()
	return d, nil
}

func (d *databaseServer) accept() {
	for {
		conn, err := d.ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[conn] = true
		d.mu.Unlock()
		go func() {
			d.serve(conn)
			_ = conn.Close()
			d.mu.Lock()
			delete(d.conns, conn)
			d.mu.Unlock()
		}()
	}
}

// shutdown ends the database as a planned exit does.
func (d *databaseServer) shutdown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	d.stopped = true
	close(d.stop)
	_ = d.ln.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
}

// announce sends heartbeats until the database stops.
func (d *databaseServer) announce(listControls func() []string) {
	client := http.Client{Timeout: heartbeatTimeout}
	at := 0
	for {
		d.mu.Lock()
		d.seq++
		state, seq := d.state, d.seq
		d.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": d.group.service, "address": d.addr, "zone": d.zone, "version": "v1", "slots": databaseSlots, "state": state, "coldLeftMs": 0,
			"dbRole": d.role(), "seqNo": seq, "born": d.born,
		})
		controls := listControls()
		for range controls {
			request, _ := http.NewRequest(http.MethodPut, "http://"+controls[at%len(controls)]+"/lentilwind/instances/"+d.id, bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode/100 == 2 {
					d.acknowledged(state)
					break
				}
			}
			at++
		}
		select {
		case <-d.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (d *databaseServer) acknowledged(state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == "draining" && d.ackedAt.IsZero() {
		d.ackedAt = time.Now()
		d.group.rec.printf("database %s: its state draining is acknowledged", d.id)
	}
}

func (d *databaseServer) role() string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.group.primary == d {
		return "primary"
	}
	return "replica"
}

// position returns the position that this database has applied.
func (d *databaseServer) position() (term, number int) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == d {
		return g.term, g.number
	}
	visible := time.Now().Add(-replicaLag)
	for i := len(g.committed) - 1; i >= 0; i-- {
		if !g.committed[i].at.After(visible) {
			return g.committed[i].term, g.committed[i].number
		}
	}
	return 1, 0
}

// commit adds a write to the log. It reports false if this database is not the primary.
func (d *databaseServer) commit(term int) bool {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != d || g.term != term {
		return false
	}
	g.number++
	g.committed = append(g.committed, commitEntry{g.term, g.number, time.Now()})
	return true
}

// leads returns the present term and whether this database leads it.
func (d *databaseServer) leads() (int, bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.group.term, d.group.primary == d
}

// promote serves the platform's call that designates the primary of the service.
func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.tokens[body.Service] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.tokens[body.Service] = token
	for _, d := range g.members {
		d.mu.Lock()
		running := !d.stopped
		d.mu.Unlock()
		if d.id != body.ID || !running {
			continue
		}
		g.rec.printf("platform: promote %s, token %d, by %s", body.ID, token, r.Header.Get("X-Duty-Holder"))
		if g.primary != d {
			time.AfterFunc(promoteDelay, func() { g.setPrimary(d, token) })
		}
		return
	}
	w.WriteHeader(http.StatusConflict)
}

func (g *group) setPrimary(d *databaseServer, token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tokens[g.service] != token || g.primary == d {
		return
	}
	g.term++
	g.primary = d
	g.rec.printf("database %s leads term %d", d.id, g.term)
}

// dbSession is one connection to a database.
type dbSession struct {
	d        *databaseServer
	r        *bufio.Reader
	w        *bufio.Writer
	tenant   string
	state    byte
	readOnly bool
	term     int
	writes   int
	started  bool // a caller's statement has run in the open transaction
	prepared map[string]string
	mute     bool // an answer is lost, so the connection says nothing any more
}

// committedWrite records the commit of a transaction that wrote, and reports whether its answer is lost.
func (g *group) committedWrite(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commits[id] = true
	return g.loseEvery > 0 && len(g.commits)%g.loseEvery == 0
}

func (d *databaseServer) serve(conn net.Conn) {
	s := &dbSession{d: d, r: bufio.NewReaderSize(conn, 4096), w: bufio.NewWriter(conn), state: 'I', prepared: make(map[string]string)}
	line, err := s.readLine()
	fields := strings.Split(line, " ")
	if err != nil || len(fields) < 3 || fields[0] != "START" {
		return
	}
	if fields[1] != d.group.service || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(s.w, "ERROR MISROUTED %s\r\n", d.id)
		_ = s.w.Flush()
		return
	}
	s.tenant = fields[2]
	d.slots <- struct{}{}
	time.Sleep(handshakeWork)
	<-d.slots
	s.ready()
	for s.w.Flush() == nil {
		line, err := s.readLine()
		if err != nil || line == "TERMINATE" {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		s.query(id, text)
		for s.mute {
			if _, err := s.readLine(); err != nil {
				return
			}
		}
	}
}

// readLine returns the next message without its CR LF.
func (s *dbSession) readLine() (string, error) {
	line, err := s.r.ReadString('\n')
	if err != nil || len(line) > maxMessageBytes+2 {
		return "", fmt.Errorf("no message: %v", err)
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

func (s *dbSession) ready() {
	term, number := s.d.position()
	fmt.Fprintf(s.w, "READY %c %d.%d\r\n", s.state, term, number)
}

func (s *dbSession) fail(code string) {
	fmt.Fprintf(s.w, "ERROR %s %s\r\n", code, s.d.id)
	if s.state == 'T' && code != "BUSY" {
		s.state = 'E'
	}
	s.ready()
}

func (s *dbSession) done(signature string, rows ...string) {
	for _, row := range rows {
		fmt.Fprintf(s.w, "ROW %s\r\n", row)
	}
	fmt.Fprintf(s.w, "COMPLETE %s\r\n", signature)
	s.ready()
}

// work takes a slot for the time of one statement.
func (s *dbSession) work() {
	s.d.slots <- struct{}{}
	time.Sleep(statementWork)
	<-s.d.slots
}

func (s *dbSession) query(id, text string) {
	if id != "-" {
		s.d.mu.Lock()
		s.d.arrivals = append(s.d.arrivals, arrival{at: time.Now(), id: head(id, 40), text: head(text, 40), first: s.state == 'I' || !s.started, connected: s.tenant})
		s.d.mu.Unlock()
	}
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		floor, statement, _ := strings.Cut(rest, " ")
		text = statement
		var wantTerm, wantNumber int
		_, _ = fmt.Sscanf(floor, "%d.%d", &wantTerm, &wantNumber)
		if term, number := s.d.position(); term < wantTerm || term == wantTerm && number < wantNumber {
			s.fail("LAGGING")
			return
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	if s.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT" {
		s.fail("MALFORMED")
		return
	}
	if s.state == 'T' && s.readOnly && (verb == "WRITE" || verb == "EXECUTE" && s.prepared[strings.SplitN(rest, " ", 2)[0]] == "WRITE") {
		s.fail("READONLY")
		return
	}
	if s.state == 'T' && !s.readOnly && (verb == "READ" || verb == "WRITE" || verb == "EXECUTE") {
		if term, leads := s.d.leads(); !leads || term != s.term {
			s.fail("READONLY")
			return
		}
	}
	s.run(id, verb, rest)
}

func (s *dbSession) run(id, verb, rest string) {
	switch verb {
	case "BEGIN":
		term, leads := s.d.leads()
		if rest == "" && !leads {
			s.fail("READONLY")
			return
		}
		s.state, s.readOnly, s.term, s.writes, s.started = 'T', rest == "READ", term, 0, false
		s.done("-")
	case "ROLLBACK":
		s.state = 'I'
		s.done("-")
	case "COMMIT":
		s.work()
		failed := s.state == 'E' || s.writes > 0 && !s.d.commit(s.term)
		s.state = 'I'
		if g := s.d.group; !failed && s.writes > 0 && g.committedWrite(id) {
			s.mute = true
			g.rec.printf("database %s: commit %s has run, its answer is lost", s.d.id, id)
			return
		}
		if failed {
			s.fail("READONLY")
			return
		}
		s.done(signature(id))
	case "READ":
		s.started = true
		s.work()
		s.done(signature(id), "row-"+head(rest, 20))
	case "WRITE":
		s.write(id)
	case "EXECUTE":
		name, _, _ := strings.Cut(rest, " ")
		switch s.prepared[name] {
		case "":
			s.fail("NOSTMT")
		case "WRITE":
			s.write(id)
		default:
			s.started = true
			s.work()
			s.done(signature(id), "row")
		}
	case "SET", "DEALLOC", "RESET":
		if verb == "RESET" {
			s.prepared = make(map[string]string)
		}
		s.done("-")
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		kind, _, _ := strings.Cut(shape, " ")
		s.prepared[name] = kind
		s.done("-")
	case "STATUS", "DEMOTE", "SUSPEND", "RESUME":
		s.status(verb, rest)
	default:
		s.fail("MALFORMED")
	}
}

func (s *dbSession) write(id string) {
	s.started = true
	if s.state == 'T' {
		s.work()
		s.writes++
		s.done(signature(id))
		return
	}
	term, _ := s.d.leads()
	s.work()
	if !s.d.commit(term) {
		s.fail("READONLY")
		return
	}
	s.done(signature(id))
}

// status answers a statement about replication. DEMOTE makes a primary of a lower term a replica.
func (s *dbSession) status(verb, rest string) {
	g := s.d.group
	if term, err := strconv.Atoi(rest); verb == "DEMOTE" && err == nil {
		g.mu.Lock()
		if g.primary == s.d && g.term < term {
			g.primary = nil
			g.rec.printf("database %s is demoted", s.d.id)
		}
		g.mu.Unlock()
	}
	current, leads := s.d.leads()
	role := "replica"
	if leads {
		role = "primary"
	}
	term, number := s.d.position()
	s.done("-", fmt.Sprintf("%s %d %d.%d 0 %d %d 1", role, current, term, number, replicaLag.Milliseconds(), len(s.d.slots)))
}

func signature(id string) string { return "7.1f3." + head(id, 8) }

func head(text string, n int) string { return text[:min(len(text), n)] }
