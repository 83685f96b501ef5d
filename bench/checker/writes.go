package checker

import (
	"fmt"
	"strings"

	"lentilwind.dev/bench/history"
)

// finalCounts tells how often each write stands in the final journals.
func (j *judge) finalCounts() map[string]int {
	counts := make(map[string]int)
	for _, final := range j.run.FinalJournals {
		for _, row := range final.Rows {
			counts[row.ID]++
		}
	}
	return counts
}

// lostWrites counts acknowledged writes that the final journals miss.
func (j *judge) lostWrites() int {
	counts := j.finalCounts()
	n := 0
	for _, r := range j.requests {
		if r.Write && r.Outcome == history.OutcomeOK && counts[r.ID] == 0 {
			n += j.find("lostWrites", r.ID, "acknowledged by "+r.Entry+" and missing at the end")
		}
	}
	return n
}

// doubledWrites counts writes that stand twice or that two transactions committed.
func (j *judge) doubledWrites() int {
	n := 0
	counts := j.finalCounts()
	for id, count := range counts {
		if count > 1 {
			n += j.find("doubledWrites", id, fmt.Sprintf("stands %d times in the final journal", count))
		}
	}
	for id, commits := range j.commits {
		if counts[id] > 1 {
			continue
		}
		for _, o := range commits[1:] {
			if o.Transaction != commits[0].Transaction {
				n += j.find("doubledWrites", id, fmt.Sprintf("ran on %s and on %s", commits[0].Server, o.Server))
				break
			}
		}
	}
	return n
}

// falseNotRun counts requests said not to have run that a database committed.
func (j *judge) falseNotRun() int {
	n := 0
	counts := j.finalCounts()
	for _, r := range j.requests {
		if !r.Outcome.ReportsNotRun() {
			continue
		}
		if commits := j.commits[r.ID]; len(commits) > 0 {
			n += j.find("falseNotRun", r.ID, fmt.Sprintf("answered %s, but committed on %s", r.Code, commits[0].Server))
		} else if counts[r.ID] > 0 {
			n += j.find("falseNotRun", r.ID, fmt.Sprintf("answered %s, but stands in the final journal", r.Code))
		}
	}
	return n
}

// mixedWorkspaces counts rows that were written for, or shown to, a workspace that they do not belong to.
func (j *judge) mixedWorkspaces() int {
	n := 0
	for id, commits := range j.commits {
		r := j.byID[id]
		if r == nil {
			continue
		}
		for _, o := range commits {
			if o.Workspace != string(r.Workspace) || o.Service != r.Service || o.Slot != r.Slot {
				detail := fmt.Sprintf("written by %s for %s/%d and committed under %s for %s/%d",
					r.Workspace, r.Service, r.Slot, o.Workspace, o.Service, o.Slot)
				n += j.find("mixedWorkspaces", id, detail)
			}
		}
	}
	for _, r := range j.requests {
		for _, row := range r.Rows {
			if j.foreign(r, row) {
				n += j.find("mixedWorkspaces", r.ID, fmt.Sprintf("was shown %s of %s, key %s", row.ID, row.Workspace, row.Key))
			}
		}
	}
	return n
}

// foreign tells whether a row cannot be an answer to a request.
func (j *judge) foreign(r *history.Request, row history.Row) bool {
	if row.Workspace != string(r.Workspace) || row.Key != r.Key {
		return true
	}
	writer := j.byID[row.ID]
	return writer != nil && (writer.Workspace != r.Workspace || writer.Service != r.Service)
}

// keyLeaks counts observations of databases that hold a key.
func (j *judge) keyLeaks() int {
	n := 0
	for i := range j.run.DatabaseEvents {
		o := &j.run.DatabaseEvents[i]
		if o.Kind == history.DatabaseWatchedText || j.holdsKey(o) {
			n += j.find("keyLeaks", "", fmt.Sprintf("%s was sent a key at %s", o.Server, o.Time))
		}
	}
	return n
}

func (j *judge) holdsKey(o *history.DatabaseEvent) bool {
	texts := append([]string{o.Statement, o.User}, o.Arguments...)
	for name, value := range o.Parameters {
		texts = append(texts, name, value)
	}
	for _, key := range j.run.Keys {
		for _, text := range texts {
			if strings.Contains(text, key) {
				return true
			}
		}
	}
	return false
}
