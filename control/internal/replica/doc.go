// Package replica runs one member of the replicated journal and maintains the state machine that the journal drives.
package replica
