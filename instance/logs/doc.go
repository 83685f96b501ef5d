// Package logs creates the structured log of a process: one JSON object per line.
package logs
