package database

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/bench/internal/wal"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
)

// Server is one stand-in database.
type Server struct {
	cfg      Config
	record   *record
	received *received
	faults   faultState
	memory   *wal.MemoryFile
	leaving  atomic.Bool
	stopped  chan struct{}
	stopOnce sync.Once
	control  *http.Server
	// controlAddress is where the HTTP interface for faults listens.
	controlAddress string
	// connections and transactions number what the server has seen over its restarts.
	connections  atomic.Uint64
	transactions atomic.Uint64

	mu      sync.Mutex
	address string
	running *run
}

// Start starts a server; the settings are completed and checked first.
func Start(cfg Config) (*Server, error) {
	cfg.ApplyDefaults()
	if problems := cfg.Check(); len(problems) > 0 {
		return nil, &jsonc.Error{Problems: problems}
	}
	rec, err := openRecord(cfg.RecordFile, !cfg.ForgetRecord)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, record: rec, memory: &wal.MemoryFile{}, stopped: make(chan struct{}), address: cfg.Listen}
	s.received = newReceived(&s.cfg, rec)
	s.faults.changed = make(chan struct{})
	s.faults.current = Faults{
		ReceiveDelay: cfg.ReceiveDelay, ApplyDelay: cfg.ApplyDelay, StatementDelay: cfg.StatementDelay,
	}
	if err := s.Restart(); err != nil {
		_ = rec.close()
		return nil, err
	}
	if err := s.startControl(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

// Restart starts a server again after Crash or Stop, at the same address and from its durable state.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		return errors.New("database: the server runs")
	}
	listener, err := s.listen()
	if err != nil {
		return fmt.Errorf("database: %w", err)
	}
	s.address = listener.Addr().String()
	file, err := s.openFile()
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	incarnation := protocol.Incarnation(time.Now().UnixNano())
	r, err := newRun(s, listener, file, incarnation)
	if err != nil {
		return errors.Join(err, listener.Close(), file.Close())
	}
	r.wal.SetSyncPaused(s.faults.get().HoldSync)
	s.record.add(history.DatabaseEvent{Service: s.cfg.Service, Server: s.cfg.Server, Kind: history.DatabaseStarted})
	s.running = r
	r.start()
	return nil
}

func (s *Server) listen() (net.Listener, error) {
	if listener := s.cfg.listener; listener != nil {
		s.cfg.listener = nil
		return listener, nil
	}
	return net.Listen("tcp", s.address)
}

func (s *Server) openFile() (wal.File, error) {
	if s.cfg.DataFolder == "" {
		return s.memory, nil
	}
	return wal.OpenDiskFile(filepath.Join(s.cfg.DataFolder, "database.log"))
}

// Crash ends the server at once; what was not durable is lost and connections are reset.
func (s *Server) Crash() error { return s.end() }

// Stop ends the server so that it can be restarted.
func (s *Server) Stop() error { return s.end() }

func (s *Server) end() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return nil
	}
	err := s.running.stop()
	s.running = nil
	return err
}

// Close ends the server for good.
func (s *Server) Close() error {
	err := s.end()
	if s.control != nil {
		err = errors.Join(err, s.control.Close())
	}
	s.finish()
	return errors.Join(err, s.record.close())
}

func (s *Server) finish() { s.stopOnce.Do(func() { close(s.stopped) }) }

// Stopped is closed once a leaving server may stop, or has been closed.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Address returns the IP and port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the IP and port of the HTTP interface for faults, or nothing.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Status returns the status of a slot; a stopped server has none.
func (s *Server) Status(slot group.Slot) (group.Status, bool) {
	r := s.current()
	if r == nil || int(slot) >= len(r.members) {
		return group.Status{}, false
	}
	return r.members[slot].Status(), true
}

// Observations returns all observations so far.
func (s *Server) Observations() []history.DatabaseEvent { return s.record.all() }

// HasReceived tells whether a text stood in the bytes of any connection.
func (s *Server) HasReceived(text string) bool { return s.received.contains(text) }

// Watch records each time that a text stands in received bytes.
func (s *Server) Watch(text string) { s.received.add(text) }

// Connections returns the number of open connections that count against the limit.
func (s *Server) Connections() int {
	if r := s.current(); r != nil {
		return int(r.counted.Load())
	}
	return 0
}

func (s *Server) current() *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *Server) transactionName(incarnation protocol.Incarnation) string {
	return fmt.Sprintf("%s-%x-%d", s.cfg.Server, uint64(incarnation), s.transactions.Add(1))
}

// background is the context of work that ends with the server.
func background() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}
