// Package outcome has the SQLSTATEs by which an entry tells a caller whether its request was run.
package outcome
