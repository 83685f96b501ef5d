package timeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"lentilwind.dev/instance/events"
)

const maxLineBytes = 1 << 20

// Filter selects events; empty fields match all events.
type Filter struct {
	Workspace string
	Service   string
	Server    string
	Session   string
	Revision  uint64
	Request   string
	Term      uint64
	Kinds     []string
	// Around also selects events of the fleet itself, such as leader changes, within this time of a matching event.
	Around time.Duration
}

// Matches reports whether the filter selects an event; Around is not taken into account.
func (f Filter) Matches(e events.Event) bool {
	return emptyOrEqual(f.Workspace, e.Workspace) &&
		emptyOrEqual(f.Service, e.Service) &&
		emptyOrEqual(f.Server, e.Server) &&
		emptyOrEqual(f.Session, e.Session) &&
		(emptyOrEqual(f.Request, e.Request) || slices.Contains(e.Earlier, f.Request)) &&
		(f.Revision == 0 || f.Revision == e.Revision) &&
		(f.Term == 0 || f.Term == e.Term) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, string(e.Kind)))
}

func emptyOrEqual(want, value string) bool { return want == "" || want == value }

// MergedLog holds the merged events and the number of lines that could not be parsed.
type MergedLog struct {
	Events []events.Event `json:"events"`
	// Unreadable counts lines that could not be parsed, such as one truncated by a crash.
	Unreadable int `json:"unreadable"`
}

// ReadFiles merges event and log files; events are ordered by hybrid logical clock, log lines by wall clock.
func ReadFiles(paths []string, filter Filter) (*MergedLog, error) {
	merged := &MergedLog{}
	for _, path := range paths {
		if err := merged.readFile(path); err != nil {
			return nil, err
		}
	}
	merged.Events = selectWithContext(merged.Events, filter)
	slices.SortStableFunc(merged.Events, compareEvents)
	return merged, nil
}

func (s *MergedLog) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("timeline: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := s.read(file); err != nil {
		return fmt.Errorf("timeline: %s: %w", path, err)
	}
	return nil
}

func (s *MergedLog) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		event, ok := parseLine(scanner.Bytes())
		switch {
		case ok:
			s.Events = append(s.Events, event)
		case bytes.IndexByte(scanner.Bytes(), '{') >= 0:
			s.Unreadable++
		}
	}
	return scanner.Err()
}
