package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilwind.dev/bench/checker"
	"lentilwind.dev/bench/history"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// latencyRow is the latencies of one route in milliseconds.
type latencyRow struct {
	Route              string
	Requests           int64
	P50, P90, P99, Max string
}

// drawn is a figure as it stands on the page.
type drawn struct {
	Title, Reading string
	SVG            template.HTML
}

// WriteHTML writes a run as one page that needs no other file.
func WriteHTML(w io.Writer, title string, run *checker.Run, summary *checker.Summary) error {
	t := newTimeline(run)
	var plots []drawn
	for _, f := range figures(t) {
		svg, err := f.svg()
		if err != nil {
			return err
		}
		plots = append(plots, drawn{Title: f.Title, Reading: f.Reading, SVG: svg})
	}
	return page.Execute(w, struct {
		Title     string
		Summary   *checker.Summary
		Promises  []metric
		Measures  []metric
		Latencies []latencyRow
		Plots     []drawn
	}{title, summary, promises(summary), measures(summary), latencyRows(run), plots})
}

func figures(t *timeline) []figure {
	var marks []float64
	for _, f := range t.run.Faults {
		marks = append(marks, f.Time.Sub(t.start).Seconds())
	}
	list := []figure{
		{Title: "Reads served by replicas", Reading: "1 is best; a dip means that reads went to the primary.", YLabel: "share", Lines: t.replicaShare(), Top: 1},
		{Title: "Latency, 99th percentile by route", Reading: "From the scheduled arrival to the answer, so waiting is counted.", YLabel: "ms", Lines: t.latencies()},
		{Title: "Requests that were not answered well, by reason", Reading: "Flat at zero is best; refusals of a workspace above its rate are right.", YLabel: "requests a second", Lines: t.rates(failureName)},
		{Title: "Acknowledged writes by service", Reading: "A gap after a fault is the failover as callers see it.", YLabel: "writes a second", Lines: t.rates(writtenService)},
		{Title: "Served requests by workspace", Reading: "A workspace that floods must not push the others down.", YLabel: "requests a second", Lines: t.rates(servedWorkspace)},
	}
	for i := range list {
		list[i].Marks = marks
	}
	return list
}

func failureName(r *history.Request) string {
	if r.Outcome == history.OutcomeOK {
		return ""
	}
	return string(r.Outcome)
}

func writtenService(r *history.Request) string {
	if !r.Write || r.Outcome != history.OutcomeOK {
		return ""
	}
	return string(r.Service)
}

func servedWorkspace(r *history.Request) string {
	if !r.Outcome.Ran() {
		return ""
	}
	return string(r.Workspace)
}

const (
	longestLatency    = time.Minute
	significantDigits = 3
)

// latencyRows sums up the latencies of each route.
func latencyRows(run *checker.Run) []latencyRow {
	histograms := make(map[string]*hdrhistogram.Histogram)
	for i := range run.Requests {
		r := &run.Requests[i]
		if r.Outcome != history.OutcomeOK {
			continue
		}
		name := string(r.Route) + " (" + string(r.Path) + ")"
		if histograms[name] == nil {
			histograms[name] = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
		}
		_ = histograms[name].RecordValue(min(max(1, r.Latency().Microseconds()), longestLatency.Microseconds()))
	}
	var rows []latencyRow
	for name, h := range histograms {
		rows = append(rows, latencyRow{
			Route: name, Requests: h.TotalCount(), P50: milliseconds(h.ValueAtQuantile(50)),
			P90: milliseconds(h.ValueAtQuantile(90)), P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max()),
		})
	}
	slices.SortFunc(rows, func(a, b latencyRow) int {
		if a.Route < b.Route {
			return -1
		}
		return 1
	})
	return rows
}

func milliseconds(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }
