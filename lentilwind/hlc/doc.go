// Package hlc implements a hybrid logical clock: timestamps that follow the wall clock and respect causality.
package hlc
