// Package journal implements a log replicated with Raft as a deterministic state machine: it takes messages and the
// current time and returns typed effects for its owner to execute.
package journal
