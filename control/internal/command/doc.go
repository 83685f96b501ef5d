// Package command implements the command line of a control process.
package command
