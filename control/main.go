// Command lentil-control runs a control process, which stores the replicated state of a fleet and leads the fleet when elected.
package main

import (
	"os"

	"lentilwind.dev/control/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
