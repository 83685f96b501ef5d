package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	readTransactions = 30
	// lostCommits is the share of commits whose answer is lost, one in so many: x = 0.2.
	lostCommits = 5
)

// promises are the answers after which nothing of the client attempt may be kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"}

// readTransaction sends transactions that begin with BEGIN READ and write. With trouble, the answers of some commits are lost.
func readTransaction(rec *record, binary string, trouble bool) (string, error) {
	f, err := newFleet(rec, binary, []string{"raquira", "bogota-norte"}, []string{"raquira", "bogota-norte", "tunja"})
	defer f.close()
	if err != nil {
		return "", err
	}
	if err := f.configure(7, tenantCount); err != nil {
		return "", err
	}
	if err := f.awaitReady(); err != nil {
		return "", err
	}
	if trouble {
		f.group.mu.Lock()
		f.group.loseEvery = lostCommits
		f.group.mu.Unlock()
	}
	broken, first := 0, ""
	for n := range readTransactions {
		c, err := f.dial(f.entries[n%len(f.entries)], "orders", "key-1")
		if err != nil {
			return "", err
		}
		commitID := newID()
		answers := []answer{c.query(newID(), "BEGIN READ"), c.query(newID(), "WRITE cups x")}
		if answers[1].code == "" {
			answers = append(answers, c.query(commitID, "COMMIT"))
		} else {
			answers = append(answers, c.query(newID(), "ROLLBACK"))
		}
		c.close()
		time.Sleep(50 * time.Millisecond) // What the database was asked has run by now.
		f.group.mu.Lock()
		kept := f.group.commits[commitID]
		f.group.mu.Unlock()
		rec.printf("transaction %d: BEGIN READ %q, WRITE %q, end %q %s; committed %t", n+1, answers[0].code, answers[1].code, answers[2].code, answers[2].detail, kept)
		if kept && slices.Contains(promises, answers[2].code) {
			if broken++; first == "" {
				first = fmt.Sprintf("commit %s was answered with %s", commitID, answers[2].code)
			}
		}
	}
	if broken == 0 {
		return "", nil
	}
	return fmt.Sprintf("REFUSED: %d writes are committed although their clients were promised that nothing is kept; the first: %s", broken, first), nil
}
