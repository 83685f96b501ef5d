package coordinator

import (
	"fmt"
	"io"
)

// WriteMetrics writes the process's metrics as Prometheus text.
func (c *Coordinator) WriteMetrics(w io.Writer) {
	v := c.view.Load()
	_, leads := c.leading()
	fmt.Fprintf(w, "lentilwind_journal_term %d\n", v.term)
	fmt.Fprintf(w, "lentilwind_journal_members %d\n", len(v.membership.Members))
	fmt.Fprintf(w, "lentilwind_journal_voters %d\n", len(v.membership.Voters()))
	fmt.Fprintf(w, "lentilwind_journal_answering %d\n", v.reachableVoters)
	fmt.Fprintf(w, "lentilwind_policy_version %d\n", c.state.Load().Document.Version)
	fmt.Fprintf(w, "lentilwind_leads %d\n", boolToInt(leads))
	if _, leads := c.leader.lockIfLeading(); !leads {
		return
	}
	defer c.leader.mu.Unlock()
	fmt.Fprintf(w, "lentilwind_entries %d\n", len(c.leader.live))
	fmt.Fprintf(w, "lentilwind_active_workspaces %d\n", c.leader.quota.ActiveWorkspaces())
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
