package timeline

import (
	"fmt"
	"strings"

	"lentilwind.dev/instance/events"
)

const timeFormat = "15:04:05.000"

// Subject says in a few words what an event is about.
func Subject(e events.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	group := e.Service
	if e.Slot != nil {
		group = fmt.Sprintf("%s/%d", e.Service, *e.Slot)
	}
	add("request", e.Request)
	add("group", group)
	add("server", e.Server)
	add("workspace", e.Workspace)
	add("session", e.Session)
	if e.Term != 0 {
		add("term", fmt.Sprint(e.Term))
	}
	if e.Revision != 0 {
		add("revision", fmt.Sprint(e.Revision))
	}
	return strings.Join(parts, ", ")
}

// Row formats an event for a table: time, instance, kind, subject and detail.
func Row(e events.Event) []string {
	return []string{e.Time.UTC().Format(timeFormat), e.Instance, string(e.Kind), Subject(e), e.Detail}
}
