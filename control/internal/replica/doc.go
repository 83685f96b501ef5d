// Package replica runs one member of the replicated journal and keeps the state that it leads to.
package replica
