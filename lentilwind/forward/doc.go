// Package forward defines the messages with which an entry forwards statements to the entry that holds the connections to a
// database.
package forward
