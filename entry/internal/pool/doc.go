// Package pool implements the bounded connection pools of an entry, one for each backend server.
package pool
