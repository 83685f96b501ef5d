// Package session implements the consistency state of a caller's session and the signed token that carries it between entries.
package session
