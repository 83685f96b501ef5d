package history

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// DatabaseEventKind is the kind of an event recorded by a database.
type DatabaseEventKind string

// Kinds of database events.
const (
	DatabaseStarted    DatabaseEventKind = "started"
	DatabaseConnected  DatabaseEventKind = "connected"
	DatabaseStatement  DatabaseEventKind = "statement"
	DatabaseRefused    DatabaseEventKind = "refused"
	DatabaseCommitted  DatabaseEventKind = "committed"
	DatabaseRolledBack DatabaseEventKind = "rolledBack"
	// DatabaseWatchedText means that the received bytes contained a watched text.
	DatabaseWatchedText DatabaseEventKind = "found"
)

// Change is a row change in a transaction.
type Change struct {
	Table  string `json:"table"`
	ID     string `json:"id,omitempty"`
	Key    string `json:"key,omitempty"`
	Value  int64  `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// DatabaseEvent is an event recorded by a database.
type DatabaseEvent struct {
	Time       time.Time         `json:"time"`
	Service    group.Service     `json:"service"`
	Server     group.Server      `json:"server"`
	Kind       DatabaseEventKind `json:"kind"`
	Connection uint64            `json:"connection,omitempty"`
	User       string            `json:"user,omitempty"`
	// Parameters holds the parameters of the startup message.
	Parameters map[string]string `json:"parameters,omitempty"`
	Statement  string            `json:"statement,omitempty"`
	Arguments  []string          `json:"arguments,omitempty"`
	Workspace  string            `json:"workspace,omitempty"`
	Slot       group.Slot        `json:"slot"`
	Term       group.Term        `json:"term,omitempty"`
	Access     string            `json:"access,omitempty"`
	// Role is the role of the group member at the time of the event.
	Role group.Role `json:"role,omitempty"`
	// Transaction is a transaction ID that is unique across servers and restarts.
	Transaction string         `json:"transaction,omitempty"`
	Position    group.Position `json:"position,omitempty"`
	Changes     []Change       `json:"changes,omitempty"`
	Code        string         `json:"code,omitempty"`
	Text        string         `json:"text,omitempty"`
}
