// Package slopes measures how the resource use of each role grows with the size of a fleet, and fits a line to each measurement.
package slopes
