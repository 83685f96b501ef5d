// Package history has the records that callers and databases write, from which the checkers judge a run.
package history
