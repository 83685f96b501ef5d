// Command harness runs the scripts of the second review against the project's own programs, with stand-ins of callers, databases, the
// operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs one case. It returns what broke the rule, empty if it held; an error means that the case could not run.
type scenario func(rec *record, binary string, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"long-ids":         longIDs,
	"prepared-texts":   preparedTexts,
	"drain-no-promote": drainWithoutPlatform,
	"core-turnover":    coreTurnover,
	"malformed":        malformedStatements,
	"read-transaction": readTransaction,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO BINARY FOLDER")
		os.Exit(exitNotRun)
	}
	run, found := scenarios[os.Args[1]]
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if !found || err != nil {
		fmt.Fprintln(os.Stderr, "no such scenario, or no record:", err)
		os.Exit(exitNotRun)
	}
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("scenario %s, trouble %t", os.Args[1], trouble)
	broken, err := run(rec, os.Args[2], trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.printf("NOT RUN: %v", err)
		code = exitNotRun
	case broken != "":
		rec.printf("BROKEN: %s", broken)
		code = exitBroken
	default:
		rec.printf("HELD")
	}
	_ = file.Close()
	os.Exit(code)
}
