package command

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilctl/internal/timeline"
)

func (a *app) timeline() *cobra.Command {
	var filter timeline.Filter
	var htmlPath string
	cmd := &cobra.Command{
		Use:   "timeline FILE|DIR ...",
		Short: "Merge the events or logs of many processes into one timeline",
		Long: `Merge the events or logs of many processes into one timeline.

Each FILE holds events or log lines of one or more processes; for a DIR, every file below it that ends in .events.jsonl is read. Events
are ordered after their causes even if the clocks of the instances differ; log lines are ordered by wall clock.

One request:        lentilctl timeline --request ID --around 2s LOG ...
One promotion:      lentilctl timeline --service NAME --kind promotionOrdered,primaryDemoted,promotionEnded,serverAnnounced LOG ...
One configuration:  lentilctl timeline --revision N --kind documentAccepted,documentApplied,policyApplied LOG ...`,
		RunE: func(_ *cobra.Command, args []string) error {
			paths, err := eventFiles(args)
			if err != nil {
				return err
			}
			merged, err := timeline.ReadFiles(paths, filter)
			if err != nil {
				return err
			}
			if htmlPath != "" {
				return writeTimelinePage(htmlPath, merged)
			}
			return a.printTimeline(merged)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&filter.Workspace, "workspace", "", "only events of this workspace")
	flags.StringVar(&filter.Service, "service", "", "only events of this service")
	flags.StringVar(&filter.Server, "server", "", "only events of this backend server")
	flags.StringVar(&filter.Session, "session", "", "only events of this session")
	flags.Uint64Var(&filter.Revision, "revision", 0, "only events of this inventory revision or configuration version")
	flags.StringVar(&filter.Request, "request", "", "only events of the request with this id")
	flags.Uint64Var(&filter.Term, "term", 0, "only events of this term")
	flags.DurationVar(&filter.Around, "around", 0, "also show events of the fleet itself within this time of a selected event")
	flags.StringSliceVar(&filter.Kinds, "kind", nil, "only events of these kinds")
	flags.StringVar(&htmlPath, "html", "", "write a self-contained HTML page to this file instead of text")
	return cmd
}

// eventFiles returns the given files and, for each folder, the event files below it.
func eventFiles(args []string) ([]string, error) {
	if len(args) == 0 {
		return nil, failure.Usagef("timeline needs event files or folders")
	}
	var paths []string
	for _, arg := range args {
		info, err := os.Stat(arg)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			paths = append(paths, arg)
			continue
		}
		err = filepath.WalkDir(arg, func(path string, entry os.DirEntry, err error) error {
			if matched, _ := filepath.Match("*.events.jsonl", filepath.Base(path)); err == nil && matched && !entry.IsDir() {
				paths = append(paths, path)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if len(paths) == 0 {
		return nil, failure.Usagef("no .events.jsonl files found in %v", args)
	}
	return paths, nil
}

func writeTimelinePage(path string, merged *timeline.MergedLog) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := timeline.WriteHTML(file, merged); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (a *app) printTimeline(merged *timeline.MergedLog) error {
	table := output.Table{Header: []string{"TIME", "INSTANCE", "EVENT", "ABOUT", "DETAIL"}}
	for _, e := range merged.Events {
		table.Rows = append(table.Rows, timeline.Row(e))
	}
	if merged.Unreadable > 0 {
		table.Rows = append(table.Rows, []string{"", "", fmt.Sprintf("%d lines could not be read", merged.Unreadable), "", ""})
	}
	return a.printer.Print(merged, table)
}
