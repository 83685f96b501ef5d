// Package logs sets up the structured log of a process: one JSON object on each line.
package logs
