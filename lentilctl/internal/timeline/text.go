package timeline

import (
	"fmt"
	"strings"

	"lentilwind.dev/instance/events"
)

const timeFormat = "15:04:05.000"

// Subject lists what an event refers to: request, database group, server, workspace, session, term and revision.
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

// Row formats an event as a table row: time, instance, kind, subject and detail.
func Row(e events.Event) []string {
	return []string{e.Time.UTC().Format(timeFormat), e.Instance, string(e.Kind), Subject(e), e.Detail}
}
