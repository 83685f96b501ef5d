// Package timer provides a service that runs delayed and periodic functions for the components of a process.
package timer
