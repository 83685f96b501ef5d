// Package checker verifies a run from the histories that callers and databases recorded, not from the system's own metrics.
package checker
