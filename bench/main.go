// Command bench is the lentil-bench program: simulated databases, a load generator, fault injection and reports.
package main

import (
	"context"
	"fmt"
	"os"

	"lentilwind.dev/bench/internal/command"
)

func main() {
	if err := command.New().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "lentil-bench:", err)
		os.Exit(1)
	}
}
