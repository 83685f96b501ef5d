package command

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilwind/inventory"
)

func (a *app) inventoryDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "List the elements that differ between two revisions or files",
		Long: `List the elements that differ between two revisions or files.

FROM and TO are each a revision number, "current", or the path of a file.`,
		Args: exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			from, err := a.loadInventory(cmd, args[0])
			if err != nil {
				return err
			}
			to, err := a.loadInventory(cmd, args[1])
			if err != nil {
				return err
			}
			delta := inventory.Diff(0, from, 0, to)
			return a.printer.Print(delta, deltaTable(delta))
		},
	}
}

// loadInventory reads an inventory by revision number, from the current revision, or from a file.
func (a *app) loadInventory(cmd *cobra.Command, name string) (*inventory.Inventory, error) {
	revision, err := strconv.ParseUint(name, 10, 64)
	if name != "current" && err != nil {
		data, err := a.readDocument(name)
		if err != nil {
			return nil, err
		}
		return inventory.Read(data)
	}
	if name != "current" && revision == 0 {
		return nil, failure.Usagef("revision numbers start at 1")
	}
	ctx, cancel, c, err := a.connect(cmd.Context())
	if err != nil {
		return nil, err
	}
	defer cancel()
	record, err := fetchRevision(ctx, c, inventory.Revision(revision))
	if err != nil {
		return nil, err
	}
	return inventory.Read([]byte(record.Document))
}

func deltaTable(d inventory.Delta) output.Table {
	table := output.Table{Header: []string{"CHANGE", "KIND", "NAME"}}
	addRows(&table, "region", d.Regions, func(r inventory.Region) string { return string(r.Name) })
	addRows(&table, "instance", d.Instances, func(i inventory.Instance) string { return string(i.Name) })
	addRows(&table, "service", d.Services, func(s inventory.Service) string { return string(s.Name) })
	addRows(&table, "workspace", d.Workspaces, func(w inventory.Workspace) string { return string(w.Name) })
	addRows(&table, "route", d.Routes, func(r inventory.Route) string { return string(r.Name) })
	if len(table.Rows) == 0 {
		return output.Table{Title: "No difference."}
	}
	return table
}

func addRows[K ~string, V any](table *output.Table, kind string, change inventory.Change[K, V], name func(V) string) {
	for _, v := range change.Set {
		table.Rows = append(table.Rows, []string{"set", kind, name(v)})
	}
	for _, k := range change.Removed {
		table.Rows = append(table.Rows, []string{"removed", kind, fmt.Sprint(k)})
	}
}
