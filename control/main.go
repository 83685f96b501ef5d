// Command lentil-control is one control process: it keeps the fleet's replicated state and leads it when elected.
package main

import (
	"os"

	"lentilwind.dev/control/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
