// Package group defines the identifiers, log positions and status of a database group, which serves one slot of one service.
package group
