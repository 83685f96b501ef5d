// Package forward has the messages with which an entry hands statements to the entry that holds the connections to a database.
package forward
