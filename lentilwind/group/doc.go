// Package group has the identifiers and positions of a database group: one slot of one service, with its members.
package group
