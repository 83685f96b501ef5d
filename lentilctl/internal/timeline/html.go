package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"lentilwind.dev/instance/events"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// row is one event as the template of the page uses it.
type row struct {
	Time     string
	Offset   string
	Instance string
	Column   int
	Kind     events.Kind
	Subject  string
	Detail   string
	// Skewed marks an event whose wall-clock time is before that of the previous event.
	Skewed bool
}

// WriteHTML writes the merged events as one self-contained HTML page.
func WriteHTML(w io.Writer, merged *MergedLog) error {
	var instances []string
	for _, e := range merged.Events {
		if !slices.Contains(instances, e.Instance) {
			instances = append(instances, e.Instance)
		}
	}
	slices.Sort(instances)
	data := struct {
		Instances  []string
		Rows       []row
		Unreadable int
	}{Instances: instances, Rows: buildRows(merged, instances), Unreadable: merged.Unreadable}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("timeline: %w", err)
	}
	return nil
}

func buildRows(merged *MergedLog, instances []string) []row {
	result := make([]row, 0, len(merged.Events))
	for i, e := range merged.Events {
		skewed := i > 0 && e.Time.Truncate(time.Millisecond).Before(merged.Events[i-1].Time.Truncate(time.Millisecond))
		result = append(result, row{
			Time:     e.Time.UTC().Format(timeFormat),
			Offset:   fmt.Sprintf("+%.3f s", e.Clock.WallTime().Sub(merged.Events[0].Clock.WallTime()).Seconds()),
			Instance: e.Instance,
			Column:   slices.Index(instances, e.Instance),
			Kind:     e.Kind,
			Subject:  Subject(e),
			Detail:   e.Detail,
			Skewed:   skewed,
		})
	}
	return result
}
