// Package experiment runs a fleet under load and faults, judges it and writes the results.
package experiment
