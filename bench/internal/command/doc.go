// Package command has the subcommands of lentil-bench.
package command
