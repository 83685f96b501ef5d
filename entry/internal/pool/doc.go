// Package pool keeps the bounded connections of an entry to one backend server.
package pool
