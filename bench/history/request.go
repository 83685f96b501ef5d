package history

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// Outcome classifies the result of a request for its caller.
type Outcome string

// Outcomes of requests.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeFailed is an error from the database: the request ran and was rolled back.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun, OutcomeQuotaExceeded, OutcomeKeyRefused and OutcomeNoPrimary mean that the request did not run.
	OutcomeNotRun        Outcome = "notRun"
	OutcomeQuotaExceeded Outcome = "refusedByQuota"
	OutcomeKeyRefused    Outcome = "keyRefused"
	OutcomeNoPrimary     Outcome = "noPrimary"
	// OutcomeUnknown means that the request was sent but no valid answer was received.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeEntryStopping means that the entry ended the request because it was stopping.
	OutcomeEntryStopping Outcome = "stopped"
	// OutcomeUnreached means that no connection could be established.
	OutcomeUnreached Outcome = "unreached"
)

// ReportsNotRun reports whether the outcome means that the request did not run.
func (o Outcome) ReportsNotRun() bool {
	switch o {
	case OutcomeNotRun, OutcomeQuotaExceeded, OutcomeKeyRefused, OutcomeNoPrimary:
		return true
	}
	return false
}

// Ran reports whether the request is known to have run.
func (o Outcome) Ran() bool { return o == OutcomeOK || o == OutcomeFailed }

// Path is the way by which a request reached its database.
type Path string

// Paths of requests.
const (
	PathEntry Path = "entry"
	// PathDirect bypasses the system and connects to a database directly, for comparison only.
	PathDirect Path = "direct"
)

// Row is a journal row as returned to a caller or read after the run.
type Row struct {
	ID        string `json:"id"`
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
	Value     int64  `json:"value,omitempty"`
}

// Request is a request as recorded by its caller.
type Request struct {
	// ID is unique within a run; a write stores it in the journal.
	ID        string                  `json:"id"`
	Workspace inventory.WorkspaceName `json:"workspace"`
	Service   group.Service           `json:"service"`
	Session   string                  `json:"session"`
	Entry     string                  `json:"entry,omitempty"`
	Path      Path                    `json:"path"`
	// Credential is the ID of the key, for requests sent with a key that is withdrawn during the run.
	Credential inventory.KeyID `json:"credential,omitempty"`
	// Probe marks requests that are sent on both paths to compare their latency.
	Probe        bool                `json:"probe,omitempty"`
	Route        inventory.RouteName `json:"route"`
	Write        bool                `json:"write"`
	MaxStaleness jsonc.Duration      `json:"maxStaleness,omitempty"`
	Key          string              `json:"key"`
	Slot         group.Slot          `json:"slot"`
	// Scheduled is the arrival time that the load schedule assigned to the request.
	Scheduled time.Time `json:"scheduled"`
	Invoked   time.Time `json:"invoked"`
	Completed time.Time `json:"completed"`
	Outcome   Outcome   `json:"outcome"`
	Code      string    `json:"code,omitempty"`
	Message   string    `json:"message,omitempty"`
	// Sequence is the number of writes of the session that were acknowledged before the request.
	Sequence uint64 `json:"sequence"`
	Rows     []Row  `json:"rows,omitempty"`
}

// Latency is the time from the scheduled arrival to the answer.
func (r *Request) Latency() time.Duration { return r.Completed.Sub(r.Scheduled) }

// FinalJournal holds the journal rows of a workspace in one slot of a service, read at its primary after the run.
type FinalJournal struct {
	Service   group.Service           `json:"service"`
	Slot      group.Slot              `json:"slot"`
	Workspace inventory.WorkspaceName `json:"workspace"`
	Rows      []Row                   `json:"rows"`
}

// FaultKind is the kind of a fault or planned change.
type FaultKind string

// Fault is a fault or planned change made during a run.
type Fault struct {
	Time   time.Time `json:"time"`
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target"`
	// Done is the time at which the fault or change was complete, for example when a change was in force.
	Done time.Time `json:"done"`
	// Error is the reason why the fault or change failed.
	Error string `json:"error,omitempty"`
}
