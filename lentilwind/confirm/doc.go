// Package confirm decides from members' statuses which writes a majority holds and how fresh a group's state is known to be.
package confirm
