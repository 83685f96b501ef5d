package checker

import (
	"fmt"
	"strings"

	"lentilwind.dev/bench/history"
)

// finalCounts returns the number of occurrences of each write in the final journals.
func (c *checker) finalCounts() map[string]int {
	counts := make(map[string]int)
	for _, final := range c.run.FinalJournals {
		for _, row := range final.Rows {
			counts[row.ID]++
		}
	}
	return counts
}

// lostWrites counts acknowledged writes that are missing from the final journals.
func (c *checker) lostWrites() int {
	counts := c.finalCounts()
	n := 0
	for _, r := range c.requests {
		if r.Write && r.Outcome == history.OutcomeOK && counts[r.ID] == 0 {
			n += c.addFinding("lostWrites", r.ID, "acknowledged by "+r.Entry+" but missing from the final journal")
		}
	}
	return n
}

// doubledWrites counts writes that occur more than once in the final journals or that two transactions committed.
func (c *checker) doubledWrites() int {
	n := 0
	counts := c.finalCounts()
	for id, count := range counts {
		if count > 1 {
			n += c.addFinding("doubledWrites", id, fmt.Sprintf("occurs %d times in the final journal", count))
		}
	}
	for id, commits := range c.commits {
		if counts[id] > 1 {
			continue
		}
		for _, o := range commits[1:] {
			if o.Transaction != commits[0].Transaction {
				n += c.addFinding("doubledWrites", id, fmt.Sprintf("committed on %s and on %s", commits[0].Server, o.Server))
				break
			}
		}
	}
	return n
}

// falseNotRun counts requests that were reported as not run although a database committed them.
func (c *checker) falseNotRun() int {
	n := 0
	counts := c.finalCounts()
	for _, r := range c.requests {
		if !r.Outcome.ReportsNotRun() {
			continue
		}
		if commits := c.commits[r.ID]; len(commits) > 0 {
			n += c.addFinding("falseNotRun", r.ID, fmt.Sprintf("answered %s but committed on %s", r.Code, commits[0].Server))
		} else if counts[r.ID] > 0 {
			n += c.addFinding("falseNotRun", r.ID, fmt.Sprintf("answered %s but present in the final journal", r.Code))
		}
	}
	return n
}

// mixedWorkspaces counts rows that were committed under, or returned to, a workspace that they do not belong to.
func (c *checker) mixedWorkspaces() int {
	n := 0
	for id, commits := range c.commits {
		r := c.byID[id]
		if r == nil {
			continue
		}
		for _, o := range commits {
			if o.Workspace != string(r.Workspace) || o.Service != r.Service || o.Slot != r.Slot {
				detail := fmt.Sprintf("written by %s for %s/%d and committed under %s for %s/%d",
					r.Workspace, r.Service, r.Slot, o.Workspace, o.Service, o.Slot)
				n += c.addFinding("mixedWorkspaces", id, detail)
			}
		}
	}
	for _, r := range c.requests {
		for _, row := range r.Rows {
			if c.mismatched(r, row) {
				n += c.addFinding("mixedWorkspaces", r.ID, fmt.Sprintf("returned row %s of %s, key %s", row.ID, row.Workspace, row.Key))
			}
		}
	}
	return n
}

// mismatched reports whether a row does not belong to the workspace, key or service of a request.
func (c *checker) mismatched(r *history.Request, row history.Row) bool {
	if row.Workspace != string(r.Workspace) || row.Key != r.Key {
		return true
	}
	writer := c.byID[row.ID]
	return writer != nil && (writer.Workspace != r.Workspace || writer.Service != r.Service)
}

// keyLeaks counts database events that contain an access key.
func (c *checker) keyLeaks() int {
	n := 0
	for i := range c.run.DatabaseEvents {
		o := &c.run.DatabaseEvents[i]
		if o.Kind == history.DatabaseWatchedText || c.containsKey(o) {
			n += c.addFinding("keyLeaks", "", fmt.Sprintf("%s received a key at %s", o.Server, o.Time))
		}
	}
	return n
}

func (c *checker) containsKey(o *history.DatabaseEvent) bool {
	texts := append([]string{o.Statement, o.User}, o.Arguments...)
	for name, value := range o.Parameters {
		texts = append(texts, name, value)
	}
	for _, key := range c.run.Keys {
		for _, text := range texts {
			if strings.Contains(text, key) {
				return true
			}
		}
	}
	return false
}
