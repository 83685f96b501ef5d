// Package command implements the subcommands of lentil-bench.
package command
