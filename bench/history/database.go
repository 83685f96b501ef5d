package history

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// DatabaseEventKind names what a database observed.
type DatabaseEventKind string

// The kinds of observations.
const (
	DatabaseStarted    DatabaseEventKind = "started"
	DatabaseConnected  DatabaseEventKind = "connected"
	DatabaseStatement  DatabaseEventKind = "statement"
	DatabaseRefused    DatabaseEventKind = "refused"
	DatabaseCommitted  DatabaseEventKind = "committed"
	DatabaseRolledBack DatabaseEventKind = "rolledBack"
	// DatabaseWatchedText tells that a watched text stood in the bytes received.
	DatabaseWatchedText DatabaseEventKind = "found"
)

// Change is one row that a transaction changed.
type Change struct {
	Table  string `json:"table"`
	ID     string `json:"id,omitempty"`
	Key    string `json:"key,omitempty"`
	Value  int64  `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// DatabaseEvent is one observation of a database.
type DatabaseEvent struct {
	Time       time.Time         `json:"time"`
	Service    group.Service     `json:"service"`
	Server     group.Server      `json:"server"`
	Kind       DatabaseEventKind `json:"kind"`
	Connection uint64            `json:"connection,omitempty"`
	User       string            `json:"user,omitempty"`
	// Parameters are those of the startup message.
	Parameters map[string]string `json:"parameters,omitempty"`
	Statement  string            `json:"statement,omitempty"`
	Arguments  []string          `json:"arguments,omitempty"`
	Workspace  string            `json:"workspace,omitempty"`
	Slot       group.Slot        `json:"slot"`
	Term       group.Term        `json:"term,omitempty"`
	Access     string            `json:"access,omitempty"`
	// Role is that of the member when it observed.
	Role group.Role `json:"role,omitempty"`
	// Transaction is unique over servers and restarts.
	Transaction string         `json:"transaction,omitempty"`
	Position    group.Position `json:"position,omitempty"`
	Changes     []Change       `json:"changes,omitempty"`
	Code        string         `json:"code,omitempty"`
	Text        string         `json:"text,omitempty"`
}
