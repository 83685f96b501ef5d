// Package command is the command line of lentil-entry.
package command
