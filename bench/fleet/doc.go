// Package fleet starts all processes of a fleet on loopback addresses for demos, experiments and integration tests.
package fleet
