// Package slopes measures how the cost of each role grows with the size of a fleet.
package slopes
