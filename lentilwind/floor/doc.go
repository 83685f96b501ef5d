// Package floor turns positions that proven primaries have reported into the least position that a read must show.
package floor
