// Package experiment runs a test fleet under load with injected faults, checks the recorded history and writes the results.
package experiment
