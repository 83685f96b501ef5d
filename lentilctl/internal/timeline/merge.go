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

// Filter selects events; empty fields select all.
type Filter struct {
	Workspace string
	Service   string
	Server    string
	Session   string
	Revision  uint64
	Request   string
	Term      uint64
	Kinds     []string
	// Around adds events of the fleet itself, such as changes of leader, that happened within this time of a selected one.
	Around time.Duration
}

// Matches tells whether the filter selects an event.
func (f Filter) Matches(e events.Event) bool {
	return matches(f.Workspace, e.Workspace) &&
		matches(f.Service, e.Service) &&
		matches(f.Server, e.Server) &&
		matches(f.Session, e.Session) &&
		(matches(f.Request, e.Request) || slices.Contains(e.Earlier, f.Request)) &&
		(f.Revision == 0 || f.Revision == e.Revision) &&
		(f.Term == 0 || f.Term == e.Term) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, string(e.Kind)))
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

// MergedLog is the merged events with the number of lines that could not be read.
type MergedLog struct {
	Events []events.Event `json:"events"`
	// Unreadable counts lines that were no events, such as one cut off by a crash.
	Unreadable int `json:"unreadable"`
}

// ReadFiles merges files of events and of logs; events are in the order of their hybrid clocks, log lines of their wall clocks.
func ReadFiles(paths []string, filter Filter) (*MergedLog, error) {
	story := &MergedLog{}
	for _, path := range paths {
		if err := story.readFile(path); err != nil {
			return nil, err
		}
	}
	story.Events = withContext(story.Events, filter)
	slices.SortStableFunc(story.Events, order)
	return story, nil
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
		event, ok := parse(scanner.Bytes())
		switch {
		case ok:
			s.Events = append(s.Events, event)
		case bytes.IndexByte(scanner.Bytes(), '{') >= 0:
			s.Unreadable++
		}
	}
	return scanner.Err()
}
