package report

import (
	"regexp"
	"slices"
	"time"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
)

// binWidth is the resolution of the plots in time.
const binWidth = 500 * time.Millisecond

// point is one value at a time since the start, in seconds.
type point struct{ X, Y float64 }

// series is one line of a plot.
type series struct {
	Name   string
	Points []point
}

// timeline sorts a run into bins of time.
type timeline struct {
	run   *checker.Run
	start time.Time
	bins  int
}

func newTimeline(run *checker.Run) *timeline {
	t := &timeline{run: run}
	var end time.Time
	for i := range run.Requests {
		r := &run.Requests[i]
		if t.start.IsZero() || r.Scheduled.Before(t.start) {
			t.start = r.Scheduled
		}
		if r.Completed.After(end) {
			end = r.Completed
		}
	}
	// The last bin is left out unless it is whole.
	t.bins = max(1, int(end.Sub(t.start)/binWidth))
	return t
}

// bin returns the bin of a moment, or false when it lies outside of the run.
func (t *timeline) bin(at time.Time) (int, bool) {
	bin := int(at.Sub(t.start) / binWidth)
	return bin, at.After(t.start) && bin < t.bins
}

func (t *timeline) seconds(bin int) float64 { return (time.Duration(bin) * binWidth).Seconds() }

// rates counts requests a second by a name; requests without one are left out.
func (t *timeline) rates(nameOf func(*history.Request) string) []series {
	counts := make(map[string][]float64)
	for i := range t.run.Requests {
		r := &t.run.Requests[i]
		name := nameOf(r)
		bin, inside := t.bin(r.Completed)
		if name == "" || !inside || r.Path == history.PathDirect {
			continue
		}
		if counts[name] == nil {
			counts[name] = make([]float64, t.bins)
		}
		counts[name][bin] += 1 / binWidth.Seconds()
	}
	return t.lines(counts)
}

func (t *timeline) lines(values map[string][]float64) []series {
	var list []series
	for name, perBin := range values {
		s := series{Name: name}
		for bin, y := range perBin {
			s.Points = append(s.Points, point{t.seconds(bin), y})
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b series) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// latencies gives the 99th percentile of each route in milliseconds.
func (t *timeline) latencies() []series {
	samples := make(map[string][][]time.Duration)
	for i := range t.run.Requests {
		r := &t.run.Requests[i]
		bin, inside := t.bin(r.Scheduled)
		if !inside || r.Path == history.PathDirect || r.Outcome != history.OutcomeOK {
			continue
		}
		name := string(r.Route)
		if samples[name] == nil {
			samples[name] = make([][]time.Duration, t.bins)
		}
		samples[name][bin] = append(samples[name][bin], r.Latency())
	}
	values := make(map[string][]float64)
	for name, bins := range samples {
		values[name] = make([]float64, t.bins)
		for bin, list := range bins {
			if len(list) > 0 {
				slices.Sort(list)
				values[name][bin] = float64(list[len(list)*99/100].Microseconds()) / 1000
			}
		}
	}
	return t.lines(values)
}

var routePattern = regexp.MustCompile(`route='([^']*)'`)

// replicaShare gives the part of the reads allowed to be stale that replicas ran.
func (t *timeline) replicaShare() []series {
	eligible := make(map[string]bool)
	for i := range t.run.Requests {
		if r := &t.run.Requests[i]; !r.Write && r.MaxStaleness > 0 {
			eligible[string(r.Route)] = true
		}
	}
	replica, all := make([]float64, t.bins), make([]float64, t.bins)
	for i := range t.run.DatabaseEvents {
		o := &t.run.DatabaseEvents[i]
		match := routePattern.FindStringSubmatch(o.Statement)
		bin, inside := t.bin(o.Time)
		if o.Kind != history.DatabaseStatement || match == nil || !eligible[match[1]] || !inside {
			continue
		}
		all[bin]++
		if o.Role == group.RoleReplica {
			replica[bin]++
		}
	}
	s := series{Name: "replica reads"}
	for bin, n := range all {
		if n > 0 {
			s.Points = append(s.Points, point{t.seconds(bin), replica[bin] / n})
		}
	}
	return []series{s}
}
