// Command lentilctl is the command-line tool for operating a lentilwind fleet.
package main

import (
	"os"

	"lentilwind.dev/lentilctl/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
