// Package confirm decides from the statuses of a group's members which writes a majority holds and how recent the group's
// known state is.
package confirm
