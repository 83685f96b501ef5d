// Package roster keeps the state of backend servers, entries and groups known to control and derives versioned topologies.
package roster
