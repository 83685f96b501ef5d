// Package renewal grants configuration leases to entries and hands them what has changed.
package renewal
