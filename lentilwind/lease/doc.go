// Package lease implements both sides of configuration leases: the leader that grants them and the entry that holds one.
package lease
