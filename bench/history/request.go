package history

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// Outcome classes how a request ended for its caller.
type Outcome string

// The classes of outcomes.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeFailed is the database's own error: the request ran and was rolled back.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun, OutcomeQuota, OutcomeKey and OutcomeNoPrimary all promise that nothing ran.
	OutcomeNotRun        Outcome = "notRun"
	OutcomeQuotaExceeded Outcome = "refusedByQuota"
	OutcomeKeyRefused    Outcome = "keyRefused"
	OutcomeNoPrimary     Outcome = "noPrimary"
	// OutcomeUnknown was sent, but no valid answer came.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEntryStopping met an entry that was stopping.
	OutcomeEntryStopping Outcome = "stopped"
	// OutcomeUnreached never got a connection.
	OutcomeUnreached Outcome = "unreached"
)

// ReportsNotRun tells whether the system said that the request did not run.
func (o Outcome) ReportsNotRun() bool {
	switch o {
	case OutcomeNotRun, OutcomeQuotaExceeded, OutcomeKeyRefused, OutcomeNoPrimary:
		return true
	}
	return false
}

// Ran tells whether the request is known to have run.
func (o Outcome) Ran() bool { return o == OutcomeOK || o == OutcomeFailed }

// Path tells how a request reached its database.
type Path string

// The paths of requests.
const (
	PathEntry Path = "entry"
	// PathDirect goes straight to a database, for comparison only.
	PathDirect Path = "direct"
)

// Row is one row of the journal as a caller or the final reader saw it.
type Row struct {
	ID        string `json:"id"`
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
	Value     int64  `json:"value,omitempty"`
}

// Request is one request as its caller saw it.
type Request struct {
	// ID is unique in a run; a write stores it in the journal.
	ID        string                  `json:"id"`
	Workspace inventory.WorkspaceName `json:"workspace"`
	Service   group.Service           `json:"service"`
	Session   string                  `json:"session"`
	Entry     string                  `json:"entry,omitempty"`
	Path      Path                    `json:"path"`
	// Credential names the key of requests that are sent with one that is being withdrawn.
	Credential inventory.KeyID `json:"credential,omitempty"`
	// Probe marks requests that are sent both ways to compare their latency.
	Probe        bool                `json:"probe,omitempty"`
	Route        inventory.RouteName `json:"route"`
	Write        bool                `json:"write"`
	MaxStaleness jsonc.Duration      `json:"maxStaleness,omitempty"`
	Key          string              `json:"key"`
	Slot         group.Slot          `json:"slot"`
	// Scheduled is when the arrival process sent the request.
	Scheduled time.Time `json:"scheduled"`
	Invoked   time.Time `json:"invoked"`
	Completed time.Time `json:"completed"`
	Outcome   Outcome   `json:"outcome"`
	Code      string    `json:"code,omitempty"`
	Message   string    `json:"message,omitempty"`
	// Sequence counts the acknowledged writes of the session before the request.
	Sequence uint64 `json:"sequence"`
	Rows     []Row  `json:"rows,omitempty"`
}

// Latency is the time from the scheduled arrival to the answer.
func (r *Request) Latency() time.Duration { return r.Completed.Sub(r.Scheduled) }

// FinalJournal is the journal of one workspace in one slot of a service at its primary when the run had ended.
type FinalJournal struct {
	Service   group.Service           `json:"service"`
	Slot      group.Slot              `json:"slot"`
	Workspace inventory.WorkspaceName `json:"workspace"`
	Rows      []Row                   `json:"rows"`
}

// FaultKind names a fault or a planned change.
type FaultKind string

// Fault is one fault or change that the runner brought about.
type Fault struct {
	Time   time.Time `json:"time"`
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target"`
	// Done is when it had been brought about, for example when a change was in force.
	Done time.Time `json:"done"`
	// Error tells why it could not be brought about.
	Error string `json:"error,omitempty"`
}
