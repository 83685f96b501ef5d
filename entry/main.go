// Command entry runs lentil-entry, the PostgreSQL proxy of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lentilwind.dev/entry/internal/command"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "lentil-entry:", err)
		os.Exit(1)
	}
}

// run executes the command line until it ends or the process receives SIGTERM or an interrupt.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return command.New().ExecuteContext(ctx)
}
