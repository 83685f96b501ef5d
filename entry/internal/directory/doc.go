// Package directory stores an entry's view of the fleet as immutable snapshots, together with its configuration lease.
package directory
