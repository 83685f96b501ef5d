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

// Server is one simulated backend server.
type Server struct {
	cfg          Config
	observations *observationLog
	received     *receivedBytes
	faults       faultState
	memoryFile   *wal.MemoryFile
	leaving      atomic.Bool
	stopped      chan struct{}
	stopOnce     sync.Once
	control      *http.Server
	// controlAddress is the address of the HTTP interface for fault injection.
	controlAddress string
	// connections and transactions are counters that continue across restarts.
	connections  atomic.Uint64
	transactions atomic.Uint64

	mu        sync.Mutex
	address   string
	activeRun *serverRun
}

// Start applies the defaults, checks the settings and starts a server.
func Start(cfg Config) (*Server, error) {
	cfg.ApplyDefaults()
	if problems := cfg.Check(); len(problems) > 0 {
		return nil, &jsonc.Error{Problems: problems}
	}
	obs, err := openObservationLog(cfg.RecordFile, !cfg.ForgetRecord)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, observations: obs, memoryFile: &wal.MemoryFile{}, stopped: make(chan struct{}), address: cfg.Listen}
	s.received = newReceivedBytes(&s.cfg, obs)
	s.faults.changed = make(chan struct{})
	s.faults.current = Faults{
		ReceiveDelay: cfg.ReceiveDelay, ApplyDelay: cfg.ApplyDelay, StatementDelay: cfg.StatementDelay,
	}
	if err := s.Restart(); err != nil {
		_ = obs.close()
		return nil, err
	}
	if err := s.startControl(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

// Restart starts a server after Crash or Stop, at the same address and from its durable state.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeRun != nil {
		return errors.New("database: the server is already running")
	}
	listener, err := s.listen()
	if err != nil {
		return fmt.Errorf("database: %w", err)
	}
	s.address = listener.Addr().String()
	file, err := s.openLogFile()
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	incarnation := protocol.Incarnation(time.Now().UnixNano())
	r, err := newServerRun(s, listener, file, incarnation)
	if err != nil {
		return errors.Join(err, listener.Close(), file.Close())
	}
	r.wal.SetSyncPaused(s.faults.get().HoldSync)
	s.observations.add(history.DatabaseEvent{Service: s.cfg.Service, Server: s.cfg.Server, Kind: history.DatabaseStarted})
	s.activeRun = r
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

func (s *Server) openLogFile() (wal.File, error) {
	if s.cfg.DataFolder == "" {
		return s.memoryFile, nil
	}
	return wal.OpenDiskFile(filepath.Join(s.cfg.DataFolder, "database.log"))
}

// Crash stops the server at once; writes that were not durable are lost and connections are reset.
func (s *Server) Crash() error { return s.stopRun() }

// Stop stops the server; Restart starts it again.
func (s *Server) Stop() error { return s.stopRun() }

func (s *Server) stopRun() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeRun == nil {
		return nil
	}
	err := s.activeRun.stop()
	s.activeRun = nil
	return err
}

// Close stops the server permanently.
func (s *Server) Close() error {
	err := s.stopRun()
	if s.control != nil {
		err = errors.Join(err, s.control.Close())
	}
	s.markStopped()
	return errors.Join(err, s.observations.close())
}

func (s *Server) markStopped() { s.stopOnce.Do(func() { close(s.stopped) }) }

// Stopped returns a channel that is closed once a leaving server may stop or Close was called.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Address returns the IP and port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the IP and port of the HTTP interface for fault injection, or an empty text if there is none.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Status returns the status of a slot, or false if the server is stopped or has no such slot.
func (s *Server) Status(slot group.Slot) (group.Status, bool) {
	r := s.currentRun()
	if r == nil || int(slot) >= len(r.members) {
		return group.Status{}, false
	}
	return r.members[slot].Status(), true
}

// Observations returns all observations kept in memory.
func (s *Server) Observations() []history.DatabaseEvent { return s.observations.all() }

// HasReceived reports whether a text occurred in the bytes received on any connection.
func (s *Server) HasReceived(text string) bool { return s.received.contains(text) }

// Watch records an observation each time a text occurs in received bytes.
func (s *Server) Watch(text string) { s.received.watch(text) }

// Connections returns the number of open connections that count towards the limit.
func (s *Server) Connections() int {
	if r := s.currentRun(); r != nil {
		return int(r.clientConns.Load())
	}
	return 0
}

func (s *Server) currentRun() *serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeRun
}

// transactionName returns a name that is unique across servers and restarts.
func (s *Server) transactionName(incarnation protocol.Incarnation) string {
	return fmt.Sprintf("%s-%x-%d", s.cfg.Server, uint64(incarnation), s.transactions.Add(1))
}

// newRunContext returns the context of work that ends when the server stops.
func newRunContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}
