// Package tests contains the integration tests, which run real processes behind fault-injecting relays.
package tests
