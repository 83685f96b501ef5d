// Package history defines the records that callers and databases write during a run and that package checker verifies.
package history
