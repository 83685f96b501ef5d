// Command lentilctl is the operators' command line of lentilwind.
package main

import (
	"os"

	"lentilwind.dev/lentilctl/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
