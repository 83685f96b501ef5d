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
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// latencyRow holds the latency percentiles of one route and path, in milliseconds.
type latencyRow struct {
	Route              string
	Requests           int64
	P50, P90, P99, Max string
}

// renderedPlot is a plot as it is embedded in the page.
type renderedPlot struct {
	Title, Note string
	SVG         template.HTML
}

// WriteHTML writes a run as a self-contained HTML page.
func WriteHTML(w io.Writer, title string, run *checker.Run, summary *checker.Summary) error {
	t := newTimeline(run)
	var plots []renderedPlot
	for _, tp := range timePlots(t) {
		svg, err := tp.svg()
		if err != nil {
			return err
		}
		plots = append(plots, renderedPlot{Title: tp.Title, Note: tp.Note, SVG: svg})
	}
	return pageTemplate.Execute(w, struct {
		Title        string
		Summary      *checker.Summary
		Guarantees   []metric
		Measurements []metric
		Latencies    []latencyRow
		Plots        []renderedPlot
	}{title, summary, guaranteeMetrics(summary), measurementMetrics(summary), latencyRows(run), plots})
}

func timePlots(t *timeline) []timePlot {
	var faultTimes []float64
	for _, f := range t.run.Faults {
		faultTimes = append(faultTimes, f.Time.Sub(t.start).Seconds())
	}
	list := []timePlot{
		{Title: "Reads served by replicas", Note: "1 is best; a dip means that reads went to the primary.", YLabel: "share", Lines: t.replicaShare(), YMax: 1},
		{Title: "Latency, 99th percentile by route", Note: "From the scheduled arrival to the response, so queueing is included.", YLabel: "ms", Lines: t.latencyP99()},
		{Title: "Failed requests by outcome", Note: "Zero is best; refusing requests of a workspace above its rate is correct.", YLabel: "requests a second", Lines: t.requestRates(failedOutcome)},
		{Title: "Acknowledged writes by service", Note: "A gap after a fault is the duration of the failover as seen by callers.", YLabel: "writes a second", Lines: t.requestRates(writtenService)},
		{Title: "Served requests by workspace", Note: "A workspace that sends too many requests must not reduce the throughput of the others.", YLabel: "requests a second", Lines: t.requestRates(servedWorkspace)},
	}
	for i := range list {
		list[i].FaultTimes = faultTimes
	}
	return list
}

// failedOutcome returns the outcome of a request that did not succeed, and "" for one that did.
func failedOutcome(r *history.Request) string {
	if r.Outcome == history.OutcomeOK {
		return ""
	}
	return string(r.Outcome)
}

// writtenService returns the service of an acknowledged write, and "" for other requests.
func writtenService(r *history.Request) string {
	if !r.Write || r.Outcome != history.OutcomeOK {
		return ""
	}
	return string(r.Service)
}

// servedWorkspace returns the workspace of a request that was executed, and "" for other requests.
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

// latencyRows summarizes the latencies of the successful requests of each route and path, sorted by name. Latencies above
// longestLatency count as longestLatency.
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
