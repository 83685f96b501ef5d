// Package floor derives the minimum position that a read must observe from positions that proven primaries have reported.
package floor
