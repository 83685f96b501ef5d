package affinity

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
)

// FailureWindow combines servers that fail within a short time of each other into one failure.
type FailureWindow struct {
	length  time.Duration
	opened  time.Time
	servers []group.Server
}

// NewFailureWindow returns a window that closes a fixed time after the first server failed.
func NewFailureWindow(length time.Duration) *FailureWindow { return &FailureWindow{length: length} }

// Add adds a server that became silent without having announced that it is leaving.
func (w *FailureWindow) Add(now time.Time, server group.Server) {
	if len(w.servers) == 0 {
		w.opened = now
	}
	if !slices.Contains(w.servers, server) {
		w.servers = append(w.servers, server)
	}
}

// Close returns the servers of a failure whose window has ended, ordered by name, or nil if there is none.
func (w *FailureWindow) Close(now time.Time) []group.Server {
	if len(w.servers) == 0 || now.Sub(w.opened) < w.length {
		return nil
	}
	servers := w.servers
	w.servers = nil
	slices.Sort(servers)
	return servers
}
