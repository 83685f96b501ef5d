package checker

import (
	"fmt"
	"strings"

	"lentilwind.dev/bench/history"
)

// finalCounts returns the number of occurrences of each write in the final journals.
func (v *verifier) finalCounts() map[string]int {
	counts := make(map[string]int)
	for _, final := range v.run.FinalJournals {
		for _, row := range final.Rows {
			counts[row.ID]++
		}
	}
	return counts
}

// lostWrites counts acknowledged writes that are missing from the final journals.
func (v *verifier) lostWrites() int {
	counts := v.finalCounts()
	n := 0
	for _, r := range v.requests {
		if r.Write && r.Outcome == history.OutcomeOK && counts[r.ID] == 0 {
			n += v.addFinding("lostWrites", r.ID, "acknowledged by "+r.Entry+" and missing at the end")
		}
	}
	return n
}

// doubledWrites counts writes that occur more than once in the final journals or that two transactions committed.
func (v *verifier) doubledWrites() int {
	n := 0
	counts := v.finalCounts()
	for id, count := range counts {
		if count > 1 {
			n += v.addFinding("doubledWrites", id, fmt.Sprintf("stands %d times in the final journal", count))
		}
	}
	for id, commits := range v.commits {
		if counts[id] > 1 {
			continue
		}
		for _, event := range commits[1:] {
			if event.Transaction != commits[0].Transaction {
				n += v.addFinding("doubledWrites", id, fmt.Sprintf("ran on %s and on %s", commits[0].Server, event.Server))
				break
			}
		}
	}
	return n
}

// falseNotRun counts requests that were reported as not run although a database committed them.
func (v *verifier) falseNotRun() int {
	n := 0
	counts := v.finalCounts()
	for _, r := range v.requests {
		if !r.Outcome.ReportsNotRun() {
			continue
		}
		if commits := v.commits[r.ID]; len(commits) > 0 {
			n += v.addFinding("falseNotRun", r.ID, fmt.Sprintf("answered %s, but committed on %s", r.Code, commits[0].Server))
		} else if counts[r.ID] > 0 {
			n += v.addFinding("falseNotRun", r.ID, fmt.Sprintf("answered %s, but stands in the final journal", r.Code))
		}
	}
	return n
}

// mixedWorkspaces counts rows that were committed under, or returned to, a workspace that they do not belong to.
func (v *verifier) mixedWorkspaces() int {
	n := 0
	for id, commits := range v.commits {
		r := v.byID[id]
		if r == nil {
			continue
		}
		for _, event := range commits {
			if event.Workspace != string(r.Workspace) || event.Service != r.Service || event.Slot != r.Slot {
				detail := fmt.Sprintf("written by %s for %s/%d and committed under %s for %s/%d",
					r.Workspace, r.Service, r.Slot, event.Workspace, event.Service, event.Slot)
				n += v.addFinding("mixedWorkspaces", id, detail)
			}
		}
	}
	for _, r := range v.requests {
		for _, row := range r.Rows {
			if v.mismatched(r, row) {
				n += v.addFinding("mixedWorkspaces", r.ID, fmt.Sprintf("was shown %s of %s, key %s", row.ID, row.Workspace, row.Key))
			}
		}
	}
	return n
}

// mismatched reports whether a row does not belong to the workspace, key or service of a request.
func (v *verifier) mismatched(r *history.Request, row history.Row) bool {
	if row.Workspace != string(r.Workspace) || row.Key != r.Key {
		return true
	}
	writer := v.byID[row.ID]
	return writer != nil && (writer.Workspace != r.Workspace || writer.Service != r.Service)
}

// keyLeaks counts database events that contain an access key.
func (v *verifier) keyLeaks() int {
	n := 0
	for i := range v.run.DatabaseEvents {
		event := &v.run.DatabaseEvents[i]
		if event.Kind == history.DatabaseWatchedText || v.containsKey(event) {
			n += v.addFinding("keyLeaks", "", fmt.Sprintf("%s was sent a key at %s", event.Server, event.Time))
		}
	}
	return n
}

func (v *verifier) containsKey(event *history.DatabaseEvent) bool {
	texts := append([]string{event.Statement, event.User}, event.Arguments...)
	for name, value := range event.Parameters {
		texts = append(texts, name, value)
	}
	for _, key := range v.run.Keys {
		for _, text := range texts {
			if strings.Contains(text, key) {
				return true
			}
		}
	}
	return false
}
