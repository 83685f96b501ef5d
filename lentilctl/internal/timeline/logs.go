package timeline

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/hlc"
)

// logFields are the fields of a log line that have a place of their own in an event.
var logFields = []string{"time", "level", "instance", "message", "request", "workspace", "service", "server", "version", "term"}

// requestPrefix begins the names of events that belong to one request.
const requestPrefix = "request"

// parse reads an event or a log line; whatever a collector has put before the JSON object is passed over.
func parse(line []byte) (events.Event, bool) {
	var event events.Event
	begin := bytes.IndexByte(line, '{')
	if begin < 0 {
		return event, false
	}
	line = line[begin:]
	if err := json.Unmarshal(line, &event); err == nil && event.Clock != 0 {
		return event, true
	}
	return parseLog(line)
}

// parseLog turns a log line into an event; its order rests on the wall clock alone.
func parseLog(line []byte) (events.Event, bool) {
	var entry struct {
		Time                                                   time.Time
		Instance, Message, Request, Workspace, Service, Server string
		Earlier                                                []string
		Version, Term                                          uint64
	}
	fields := make(map[string]any)
	if json.Unmarshal(line, &entry) != nil || entry.Message == "" || entry.Time.IsZero() || json.Unmarshal(line, &fields) != nil {
		return events.Event{}, false
	}
	return events.Event{
		Clock: hlc.FromWallTime(entry.Time), Time: entry.Time, Instance: entry.Instance, Kind: events.Kind(entry.Message), Request: entry.Request,
		Earlier: entry.Earlier, Workspace: entry.Workspace, Service: entry.Service, Server: entry.Server, Revision: entry.Version, Term: entry.Term,
		Detail: detail(fields),
	}, true
}

// detail lists the other fields, ordered by name.
func detail(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if !slices.Contains(logFields, name) && value != nil && value != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// withContext returns the selected events and those of the fleet itself that happened within a time of one of them.
func withContext(all []events.Event, filter Filter) []events.Event {
	var near []time.Time
	for _, e := range all {
		if filter.Matches(e) {
			near = append(near, e.Time)
		}
	}
	slices.SortFunc(near, time.Time.Compare)
	return slices.DeleteFunc(all, func(e events.Event) bool {
		if filter.Matches(e) {
			return false
		}
		return strings.HasPrefix(string(e.Kind), requestPrefix) || !isNear(near, e.Time, filter.Around)
	})
}

// isNear tells whether one of the sorted moments is within a time of another.
func isNear(sorted []time.Time, at time.Time, within time.Duration) bool {
	from, _ := slices.BinarySearchFunc(sorted, at.Add(-within), time.Time.Compare)
	return within > 0 && from < len(sorted) && !sorted[from].After(at.Add(within))
}

// order puts events into the order of their hybrid clocks, so that no effect stands before its cause.
func order(a, b events.Event) int {
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
}
