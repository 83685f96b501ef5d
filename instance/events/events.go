package events

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/hlc"
)

// Kind names a type of event.
type Kind string

// The kinds of events.
const (
	KindProcessStarted   Kind = "processStarted"
	KindProcessStopping  Kind = "processStopping"
	KindProcessStopped   Kind = "processStopped"
	KindLeaderElected    Kind = "leaderElected"
	KindLeaderLost       Kind = "leaderLost"
	KindInventoryChanged Kind = "inventoryChanged"
	KindInventoryApplied Kind = "inventoryApplied"
	KindInventoryInForce Kind = "inventoryInForce"
	KindLeaseLost        Kind = "leaseLost"
	KindLeaseGained      Kind = "leaseGained"
	KindServerAppeared   Kind = "serverAppeared"
	KindServerSilent     Kind = "serverSilent"
	KindServerLeaving    Kind = "serverLeaving"
	KindServerGone       Kind = "serverGone"
	KindPrimarySuspected Kind = "primarySuspected"
	KindTermBegun        Kind = "termBegun"
	KindMemberFenced     Kind = "memberFenced"
	KindPrimaryPromoted  Kind = "primaryPromoted"
	KindPrimaryPublished Kind = "primaryPublished"
	KindFailoverRefused  Kind = "failoverRefused"
	KindKeyWithdrawn     Kind = "keyWithdrawn"
	KindRequestRefused   Kind = "requestRefused"
	KindMembersChanged   Kind = "membersChanged"
	KindSnapshotTaken    Kind = "snapshotTaken"
)

// Event is one entry of the timeline; empty fields are omitted.
type Event struct {
	Clock    hlc.Timestamp `json:"clock"`
	Time     time.Time     `json:"time"`
	Instance string        `json:"instance"`
	Kind     Kind          `json:"kind"`
	// The timeline can be filtered by Request, Workspace, Service, Slot, Server, Session, Revision and Term.
	Request string `json:"request,omitempty"`
	// Earlier holds the ids of the statements that preceded and caused the request.
	Earlier   []string `json:"earlier,omitempty"`
	Workspace string   `json:"workspace,omitempty"`
	Service   string   `json:"service,omitempty"`
	Slot      *uint16  `json:"slot,omitempty"`
	Server    string   `json:"server,omitempty"`
	Session   string   `json:"session,omitempty"`
	Revision  uint64   `json:"revision,omitempty"`
	Term      uint64   `json:"term,omitempty"`
	Detail    string   `json:"detail,omitempty"`
}

// Recorder writes the events of one process as JSON lines.
type Recorder struct {
	instance string
	clock    *hlc.Clock

	mu     sync.Mutex
	w      *bufio.Writer
	closer io.Closer
}

// Open returns a recorder that appends to a file, which it creates with its directory if missing; an empty path discards events.
func Open(path, instance string, clock *hlc.Clock) (*Recorder, error) {
	if path == "" {
		return &Recorder{instance: instance, clock: clock}, nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	return &Recorder{instance: instance, clock: clock, w: bufio.NewWriter(file), closer: file}, nil
}

// Record sets the event's clock, time and instance and writes it; if the write fails, the event is lost.
func (r *Recorder) Record(event Event) {
	now := time.Now()
	event.Clock = r.clock.Now(now)
	event.Time = now
	event.Instance = r.instance
	line, err := json.Marshal(event)
	if err != nil || r.w == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.w.Write(append(line, '\n'))
	_ = r.w.Flush()
}

// Close flushes and closes the file.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closer == nil {
		return nil
	}
	if err := r.w.Flush(); err != nil {
		return fmt.Errorf("events: %w", err)
	}
	return r.closer.Close()
}
