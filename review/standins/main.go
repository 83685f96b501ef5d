// Command review-standins runs one case of the review: it starts the system's processes, plays clients, databases, operator and platform, and
// judges what they saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays one case and returns what broke the rule.
type scenario func(f *fleet, rec *recorder, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"killed-owner": killedOwner, "stale-proof": staleProof, "revoked-transaction": revokedTransaction,
	"foreign-heartbeat": foreignHeartbeat,
}

// Exit codes.
const (
	held     = 0
	broke    = 1
	couldNot = 2
)

const timeLimit = 100 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins SCENARIO FOLDER")
		return couldNot
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer f.close()
	type outcome struct {
		broken []string
		err    error
	}
	outcomes := make(chan outcome, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](f, rec, os.Getenv("TROUBLE") != "0")
		outcomes <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-outcomes:
		return report(rec, o.broken, o.err)
	case <-time.After(timeLimit):
		return report(rec, nil, errNotInTime)
	case <-stop:
		return report(rec, nil, errNotInTime)
	}
}

func report(rec *recorder, broken []string, err error) int {
	code := held
	switch {
	case len(broken) > 0:
		code = broke
	case err != nil:
		code = couldNot
	}
	for _, b := range broken {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if err != nil {
		rec.printf("the case ended with: %v", err)
		fmt.Println("the case ended with:", err)
	}
	if code == held {
		rec.printf("the rule held")
		fmt.Println("the rule held")
	}
	return code
}
