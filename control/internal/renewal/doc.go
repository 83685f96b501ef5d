// Package renewal grants configuration leases to entries and sends them configuration changes.
package renewal
