// Package protocol defines the messages between the system's own processes and their encoding.
package protocol
