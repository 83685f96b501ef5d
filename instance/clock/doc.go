// Package clock reads a clock that goes on while the instance is suspended, which leases and staleness bounds need.
package clock
