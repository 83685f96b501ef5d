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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.New().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lentil-entry:", err)
		os.Exit(1)
	}
}
