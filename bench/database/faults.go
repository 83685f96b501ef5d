package database

import (
	"sync"

	"lentilwind.dev/lentilwind/jsonc"
)

// Faults is what can be switched on a running server.
type Faults struct {
	// PauseReplication stops sending anything to replicas.
	PauseReplication bool `json:"pauseReplication"`
	// RefuseConnections answers every startup with an error.
	RefuseConnections bool `json:"refuseConnections"`
	// HoldSync keeps what is written from becoming durable.
	HoldSync       bool           `json:"holdSync"`
	ReceiveDelay   jsonc.Duration `json:"receiveDelay"`
	ApplyDelay     jsonc.Duration `json:"applyDelay"`
	StatementDelay jsonc.Duration `json:"statementDelay"`
}

// faultState holds the faults in force.
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

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.faults.get() }

// SetFaults changes the faults in force.
func (s *Server) SetFaults(change func(*Faults)) {
	faults := s.faults.set(change)
	if run := s.current(); run != nil {
		run.wal.SetSyncPaused(faults.HoldSync)
	}
}

// SilenceConnections makes every open connection silent for good; new ones work.
func (s *Server) SilenceConnections() {
	if run := s.current(); run != nil {
		run.conns.each(func(c *conn) { c.silence() })
	}
}

// DropConnections closes every open connection.
func (s *Server) DropConnections() {
	if run := s.current(); run != nil {
		run.conns.each(func(c *conn) { c.abort() })
	}
}

// Leave asks for no new work; Stopped tells when none is left.
func (s *Server) Leave() { s.leaving.Store(true) }
