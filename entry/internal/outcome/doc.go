// Package outcome defines the SQLSTATEs that tell a caller whether its request was run.
package outcome
