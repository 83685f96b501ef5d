package database

import (
	"sync"

	"lentilwind.dev/lentilwind/jsonc"
)

// Faults holds the faults that can be injected into a running server.
type Faults struct {
	// PauseReplication stops sending data to replicas.
	PauseReplication bool `json:"pauseReplication"`
	// RefuseConnections answers every startup message with an error.
	RefuseConnections bool `json:"refuseConnections"`
	// HoldSync prevents writes from becoming durable.
	HoldSync       bool           `json:"holdSync"`
	ReceiveDelay   jsonc.Duration `json:"receiveDelay"`
	ApplyDelay     jsonc.Duration `json:"applyDelay"`
	StatementDelay jsonc.Duration `json:"statementDelay"`
}

// faultState holds the current faults and signals changes to them.
type faultState struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{}
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// watch returns the faults and a channel that is closed when they change.
func (f *faultState) watch() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

func (f *faultState) set(change func(*Faults)) Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.current)
	close(f.changed)
	f.changed = make(chan struct{})
	return f.current
}

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faults.get() }

// SetFaults changes the current faults.
func (s *Server) SetFaults(change func(*Faults)) {
	faults := s.faults.set(change)
	if run := s.currentRun(); run != nil {
		run.wal.SetSyncPaused(faults.HoldSync)
	}
}

// SilenceConnections silences every open connection permanently; new connections are unaffected.
func (s *Server) SilenceConnections() {
	if run := s.currentRun(); run != nil {
		run.conns.forEach(func(c *conn) { c.silence() })
	}
}

// DropConnections resets every open connection.
func (s *Server) DropConnections() {
	if run := s.currentRun(); run != nil {
		run.conns.forEach(func(c *conn) { c.reset() })
	}
}

// Leave announces that the server is leaving; Stopped is closed once it may stop.
func (s *Server) Leave() { s.leaving.Store(true) }
