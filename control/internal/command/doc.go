// Package command has the command line of a control process.
package command
