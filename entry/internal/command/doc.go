// Package command implements the command line of lentil-entry.
package command
