// Package placement chooses the home entries of each database, which hold the connection pools to it, and leases connections
// to them so that the sum never exceeds the database's limit.
package placement
