// Package positions tracks the replication status of every group member. It waits until a majority confirms a write, or
// until the position that a session must at least see is known.
package positions
