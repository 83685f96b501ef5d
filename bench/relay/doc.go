// Package relay stands before processes of a test fleet and injects network faults between data centres.
package relay
