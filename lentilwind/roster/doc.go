// Package roster keeps what control learns of backend servers, entries and groups, and turns it into versioned topologies.
package roster
