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

// logFields are the log fields that map to fields of an event; the others go into its detail.
var logFields = []string{"time", "level", "instance", "message", "request", "workspace", "service", "server", "version", "term"}

// requestPrefix is the common prefix of event kinds that belong to one request.
const requestPrefix = "request"

// parseLine parses an event or a log line; text before the JSON object, such as a log collector's prefix, is skipped.
func parseLine(line []byte) (events.Event, bool) {
	var event events.Event
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return event, false
	}
	line = line[start:]
	if err := json.Unmarshal(line, &event); err == nil && event.Clock != 0 {
		return event, true
	}
	return parseLog(line)
}

// parseLog converts a log line into an event whose clock is derived from the wall-clock time only.
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
		Detail: formatDetail(fields),
	}, true
}

// formatDetail formats the fields that are not in logFields, sorted by name.
func formatDetail(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if !slices.Contains(logFields, name) && value != nil && value != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// selectWithContext returns the events that match the filter and the fleet's own events within filter.Around of a match.
func selectWithContext(all []events.Event, filter Filter) []events.Event {
	var matchTimes []time.Time
	for _, e := range all {
		if filter.Matches(e) {
			matchTimes = append(matchTimes, e.Time)
		}
	}
	slices.SortFunc(matchTimes, time.Time.Compare)
	return slices.DeleteFunc(all, func(e events.Event) bool {
		if filter.Matches(e) {
			return false
		}
		return strings.HasPrefix(string(e.Kind), requestPrefix) || !anyWithin(matchTimes, e.Time, filter.Around)
	})
}

// anyWithin reports whether any of the sorted times is at most the duration within away from at.
func anyWithin(sorted []time.Time, at time.Time, within time.Duration) bool {
	from, _ := slices.BinarySearchFunc(sorted, at.Add(-within), time.Time.Compare)
	return within > 0 && from < len(sorted) && !sorted[from].After(at.Add(within))
}

// compareEvents compares events by their hybrid logical clocks, which order a cause before its effects.
func compareEvents(a, b events.Event) int {
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
}
