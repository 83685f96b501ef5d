// Package linktest provides tests with endpoints of a temporary fleet on the loopback interface.
package linktest
