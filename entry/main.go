// Command entry is lentil-entry: the proxy on each entry instance.
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

// run ends when the process is told to stop.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return command.New().ExecuteContext(ctx)
}
