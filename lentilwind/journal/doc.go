// Package journal has a replicated log as a pure state machine: events and the time go in, typed effects come out.
package journal
