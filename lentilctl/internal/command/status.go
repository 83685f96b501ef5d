package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lentilwind.dev/lentilctl/internal/client"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilwind/protocol"
)

func (a *app) status() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show control, entries, backend servers and database groups",
		Args:  exactArgs(0),
		RunE: a.withClient(func(ctx context.Context, c *client.Client, _ []string) error {
			status, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return a.printer.Print(status, statusTables(status)...)
		}),
	}
}

func statusTables(s protocol.FleetStatus) []output.Table {
	return []output.Table{
		{Rows: [][]string{
			{"leader", string(s.Leader)},
			{"term", fmt.Sprint(s.Term)},
			{"committed", fmt.Sprint(s.Committed)},
			{"inventory revision", fmt.Sprint(s.Revision)},
			{"in force", fmt.Sprint(s.InForce)},
		}},
		membersTable(s.Members), entriesTable(s.Entries), serversTable(s.Servers), groupsTable(s),
	}
}

func membersTable(members []protocol.MemberState) output.Table {
	table := output.Table{Header: []string{"CONTROL", "ROLE", "ADDRESS", "MATCHED", "SILENT"}}
	for _, m := range members {
		table.Rows = append(table.Rows, []string{
			string(m.Name), string(m.Role), m.Address, fmt.Sprint(m.Matched), formatMilliseconds(m.SilentMs),
		})
	}
	return table
}

func entriesTable(entries []protocol.EntryLease) output.Table {
	table := output.Table{Header: []string{"ENTRY", "DATA CENTRE", "HEALTH", "ADDRESS", "REVISION", "LEASE"}}
	for _, e := range entries {
		table.Rows = append(table.Rows, []string{
			string(e.Name), string(e.DataCentre), string(e.Health), e.Address, fmt.Sprint(e.Applied), formatMilliseconds(e.LeaseMs),
		})
	}
	return table
}

func serversTable(servers []protocol.ServerState) output.Table {
	table := output.Table{Header: []string{"SERVER", "SERVICE", "HEALTH", "ADDRESS", "FAILS WITH"}}
	for _, s := range servers {
		others := make([]string, len(s.FailsWith))
		for i, other := range s.FailsWith {
			others[i] = string(other)
		}
		table.Rows = append(table.Rows, []string{
			string(s.Server), string(s.Service), string(s.Health), s.Address, strings.Join(others, ", "),
		})
	}
	return table
}

func groupsTable(s protocol.FleetStatus) output.Table {
	table := output.Table{Header: []string{"GROUP", "TERM", "PRIMARY"}}
	for _, g := range s.Groups {
		primary := string(g.Primary)
		if primary == "" {
			primary = "(failover under way)"
		}
		table.Rows = append(table.Rows, []string{g.Group.String(), fmt.Sprint(g.Term), primary})
	}
	return table
}

func formatMilliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
