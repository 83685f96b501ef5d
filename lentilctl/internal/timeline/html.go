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

// row is one event as the page shows it.
type row struct {
	Time     string
	Offset   string
	Instance string
	Column   int
	Kind     events.Kind
	Subject  string
	Detail   string
	// Skewed marks an event whose wall clock contradicts the order of causes.
	Skewed bool
}

// WriteHTML writes the story as one self-contained page.
func WriteHTML(w io.Writer, story *MergedLog) error {
	var instances []string
	for _, e := range story.Events {
		if !slices.Contains(instances, e.Instance) {
			instances = append(instances, e.Instance)
		}
	}
	slices.Sort(instances)
	data := struct {
		Instances  []string
		Rows       []row
		Unreadable int
	}{Instances: instances, Rows: rows(story, instances), Unreadable: story.Unreadable}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("timeline: %w", err)
	}
	return nil
}

func rows(story *MergedLog, instances []string) []row {
	result := make([]row, 0, len(story.Events))
	for i, e := range story.Events {
		skewed := i > 0 && e.Time.Truncate(time.Millisecond).Before(story.Events[i-1].Time.Truncate(time.Millisecond))
		result = append(result, row{
			Time:     e.Time.UTC().Format(timeFormat),
			Offset:   fmt.Sprintf("+%.3f s", e.Clock.WallTime().Sub(story.Events[0].Clock.WallTime()).Seconds()),
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
