// Package homes finds the homes of each database, which are the entries that hold connections to it, and leases this entry's share
// of the connections from the control leader.
package homes
