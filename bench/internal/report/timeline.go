package report

import (
	"regexp"
	"slices"
	"time"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
)

// binWidth is the time resolution of the plots.
const binWidth = 500 * time.Millisecond

// point is one value at a time since the start, in seconds.
type point struct{ X, Y float64 }

// series is one line of a plot.
type series struct {
	Name   string
	Points []point
}

// timeline divides a run into bins of equal duration.
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
	// A partial last bin is left out.
	t.bins = max(1, int(end.Sub(t.start)/binWidth))
	return t
}

// bin returns the index of the bin of a time, and false if the time is outside the bins.
func (t *timeline) bin(at time.Time) (int, bool) {
	bin := int(at.Sub(t.start) / binWidth)
	return bin, at.After(t.start) && bin < t.bins
}

// seconds returns the start of a bin in seconds since the start of the run.
func (t *timeline) seconds(bin int) float64 { return (time.Duration(bin) * binWidth).Seconds() }

// requestRates returns the requests per second for each name that nameOf returns, without direct requests. Requests for
// which nameOf returns "" are left out.
func (t *timeline) requestRates(nameOf func(*history.Request) string) []series {
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
	return t.toSeries(counts)
}

// toSeries converts the values per bin of each name to series, sorted by name.
func (t *timeline) toSeries(values map[string][]float64) []series {
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

// latencyP99 returns the 99th percentile of the latency of each route in milliseconds, for successful requests that were
// not direct. It is 0 in bins without requests.
func (t *timeline) latencyP99() []series {
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
		for bin, sample := range bins {
			if len(sample) > 0 {
				slices.Sort(sample)
				values[name][bin] = float64(sample[len(sample)*99/100].Microseconds()) / 1000
			}
		}
	}
	return t.toSeries(values)
}

var routePattern = regexp.MustCompile(`route='([^']*)'`)

// replicaShare returns the share of reads that replicas executed, among the statements of routes whose reads allow
// staleness. Bins without such statements have no point.
func (t *timeline) replicaShare() []series {
	eligible := make(map[string]bool)
	for i := range t.run.Requests {
		if r := &t.run.Requests[i]; !r.Write && r.MaxStaleness > 0 {
			eligible[string(r.Route)] = true
		}
	}
	replica, all := make([]float64, t.bins), make([]float64, t.bins)
	for i := range t.run.DatabaseEvents {
		event := &t.run.DatabaseEvents[i]
		match := routePattern.FindStringSubmatch(event.Statement)
		bin, inside := t.bin(event.Time)
		if event.Kind != history.DatabaseStatement || match == nil || !eligible[match[1]] || !inside {
			continue
		}
		all[bin]++
		if event.Role == group.RoleReplica {
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
