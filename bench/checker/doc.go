// Package checker judges a run from the recorded histories of callers and databases, never from the system's counters.
package checker
