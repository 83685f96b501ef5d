// Package load drives a fleet with seeded open-loop callers and records what they saw.
package load
