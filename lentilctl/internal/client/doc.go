// Package client is an HTTP client for the operator API of the control processes; it locates the leader.
package client
