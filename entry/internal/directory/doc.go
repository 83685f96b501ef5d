// Package directory keeps what an entry knows of the fleet as immutable snapshots.
package directory
