package checker

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// recordKey identifies the journal rows that a read returns and a write adds to.
type recordKey struct {
	service   group.Service
	workspace inventory.WorkspaceName
	key       string
}

func recordKeyOf(r *history.Request) recordKey {
	return recordKey{service: r.Service, workspace: r.Workspace, key: r.Key}
}

// staleReads counts reads that do not return a write that they must return.
func (v *verifier) staleReads() int {
	acknowledged := make(map[recordKey][]*history.Request)
	for _, r := range v.requests {
		if r.Write && r.Outcome == history.OutcomeOK {
			acknowledged[recordKeyOf(r)] = append(acknowledged[recordKeyOf(r)], r)
		}
	}
	n := 0
	for _, r := range v.requests {
		if r.Write || r.Outcome != history.OutcomeOK {
			continue
		}
		if missingWrite, readKind := v.missingWrite(r, acknowledged[recordKeyOf(r)]); missingWrite != "" {
			n += v.addFinding("staleReads", r.ID, fmt.Sprintf("%s by %s does not show %s", readKind, r.Entry, missingWrite))
		}
	}
	return n
}

// missingWrite returns the ID of a write that the read must return but did not, and the kind of read for the finding.
func (v *verifier) missingWrite(r *history.Request, writes []*history.Request) (id, kind string) {
	seen := make(map[string]bool, len(r.Rows))
	for _, row := range r.Rows {
		seen[row.ID] = true
	}
	limit := r.Invoked.Add(-r.MaxStaleness.Std())
	for _, w := range writes {
		switch {
		case seen[w.ID]:
		case w.Session == r.Session && w.Completed.Before(r.Invoked):
			return w.ID, "a read of the writing session"
		case w.Completed.Before(limit):
			return w.ID, fmt.Sprintf("a read that may be %s stale", r.MaxStaleness)
		}
	}
	return "", ""
}

var routePattern = regexp.MustCompile(`route='([^']*)'`)

// replicaReadShare returns the fraction of statements on routes that allow stale reads that replicas executed.
func (v *verifier) replicaReadShare() float64 {
	eligible := make(map[string]bool)
	for _, r := range v.requests {
		if !r.Write && r.MaxStaleness > 0 {
			eligible[string(r.Route)] = true
		}
	}
	replica, all := 0, 0
	for i := range v.run.DatabaseEvents {
		event := &v.run.DatabaseEvents[i]
		if event.Kind != history.DatabaseStatement || v.quota(inventory.WorkspaceName(event.Workspace)) == nil {
			continue
		}
		match := routePattern.FindStringSubmatch(event.Statement)
		if match == nil || !eligible[match[1]] {
			continue
		}
		all++
		if event.Role == group.RoleReplica {
			replica++
		}
	}
	return ratio(replica, all)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Failover is a change of the term in which the writes of a database group were acknowledged.
type Failover struct {
	Group group.ID   `json:"group"`
	From  group.Term `json:"from"`
	To    group.Term `json:"to"`
	// GapMs is the time from the last acknowledged write of the old term to the first of the new one.
	GapMs int64     `json:"gapMs"`
	At    time.Time `json:"at"`
}

// failovers returns the changes of term between acknowledged writes, ordered by time.
func (v *verifier) failovers() []Failover {
	list := []Failover{}
	type span struct {
		term        group.Term
		first, last time.Time
	}
	spans := make(map[group.ID]map[group.Term]*span)
	for _, r := range v.requests {
		commits := v.commits[r.ID]
		if !r.Write || r.Outcome != history.OutcomeOK || len(commits) == 0 {
			continue
		}
		id, term := group.ID{Service: r.Service, Slot: r.Slot}, commits[len(commits)-1].Term
		if spans[id] == nil {
			spans[id] = make(map[group.Term]*span)
		}
		s := spans[id][term]
		if s == nil {
			s = &span{term: term, first: r.Completed, last: r.Completed}
			spans[id][term] = s
		}
		if r.Completed.Before(s.first) {
			s.first = r.Completed
		}
		if r.Completed.After(s.last) {
			s.last = r.Completed
		}
	}
	for id, terms := range spans {
		var ordered []*span
		for _, s := range terms {
			ordered = append(ordered, s)
		}
		slices.SortFunc(ordered, func(a, b *span) int { return int(a.term) - int(b.term) })
		for i := 1; i < len(ordered); i++ {
			gap := ordered[i].first.Sub(ordered[i-1].last)
			list = append(list, Failover{
				Group: id, From: ordered[i-1].term, To: ordered[i].term, GapMs: gap.Milliseconds(), At: ordered[i-1].last,
			})
		}
	}
	slices.SortFunc(list, func(a, b Failover) int { return a.At.Compare(b.At) })
	return list
}

// gapStats returns the median and the longest failover gap in milliseconds.
func gapStats(failovers []Failover) (median, longest int64) {
	if len(failovers) == 0 {
		return 0, 0
	}
	var list []int64
	for _, f := range failovers {
		list = append(list, f.GapMs)
	}
	slices.Sort(list)
	return list[(len(list)-1)/2], list[len(list)-1]
}

// addedLatency compares the latency of probes through the system with that of the same statements sent directly.
func (v *verifier) addedLatency() Latencies {
	var entry, direct []time.Duration
	for i := range v.run.Requests {
		r := &v.run.Requests[i]
		if !r.Probe || r.Outcome != history.OutcomeOK {
			continue
		}
		if r.Path == history.PathDirect {
			direct = append(direct, r.Completed.Sub(r.Invoked))
			continue
		}
		entry = append(entry, r.Completed.Sub(r.Invoked))
	}
	if len(entry) == 0 || len(direct) == 0 {
		return Latencies{}
	}
	return Latencies{
		P50: (quantile(entry, 50) - quantile(direct, 50)).Microseconds(),
		P99: (quantile(entry, 99) - quantile(direct, 99)).Microseconds(),
	}
}

// quantile returns the given percentile by the nearest-rank method; it sorts values in place.
func quantile(values []time.Duration, percent int) time.Duration {
	slices.Sort(values)
	return values[max(0, (len(values)*percent+99)/100-1)]
}
