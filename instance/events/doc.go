// Package events records typed events of a process; the events of all processes merge into one timeline.
package events
