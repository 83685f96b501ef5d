// Package timer has the timer service that the parts of a process subscribe to.
package timer
