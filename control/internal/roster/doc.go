// Package roster serves the roster of the control leader to entries and backend servers.
package roster
