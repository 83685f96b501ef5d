// Package fleet starts the programs of a whole fleet on loopback addresses for demos, experiments and integration tests.
package fleet
