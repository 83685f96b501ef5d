// Package memory bounds the memory that the connections of a process may hold together, so that callers that do not behave cannot end it.
package memory
