// Package events records what a process does as typed events that merge into one time line over all processes.
package events
