// Package positions keeps the statuses of group members and waits until a majority confirms a write or a session's floor.
package positions
