package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

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
	Kinds     []string
}

// Matches tells whether the filter selects an event.
func (f Filter) Matches(e events.Event) bool {
	return matches(f.Workspace, e.Workspace) &&
		matches(f.Service, e.Service) &&
		matches(f.Server, e.Server) &&
		matches(f.Session, e.Session) &&
		(f.Revision == 0 || f.Revision == e.Revision) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, string(e.Kind)))
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

// Story is the merged events with the number of lines that could not be read.
type Story struct {
	Events []events.Event `json:"events"`
	// Unreadable counts lines that were no events, such as one cut off by a crash.
	Unreadable int `json:"unreadable"`
}

// ReadFiles merges event files; the order follows the hybrid clock, so no effect stands before its cause.
func ReadFiles(paths []string, filter Filter) (*Story, error) {
	story := &Story{}
	for _, path := range paths {
		if err := story.readFile(path, filter); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(story.Events, func(a, b events.Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Instance, b.Instance))
	})
	return story, nil
}

func (s *Story) readFile(path string, filter Filter) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("timeline: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := s.read(file, filter); err != nil {
		return fmt.Errorf("timeline: %s: %w", path, err)
	}
	return nil
}

func (s *Story) read(r io.Reader, filter Filter) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var event events.Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil || event.Clock == 0 {
			s.Unreadable++
			continue
		}
		if filter.Matches(event) {
			s.Events = append(s.Events, event)
		}
	}
	return scanner.Err()
}
