package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"lentilwind.dev/lentilctl/internal/client"
	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

func (a *app) inventory() *cobra.Command {
	return commandGroup("inventory", "Check, apply and show inventories",
		a.inventoryCheck(), a.inventoryApply(), a.inventoryShow(), a.inventoryHistory(), a.inventoryDiff())
}

// readDocument reads a file, or standard input if path is "-".
func (a *app) readDocument(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(a.in)
	}
	return os.ReadFile(path)
}

func (a *app) inventoryCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document without applying it",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := a.readDocument(args[0])
			if err != nil {
				return err
			}
			inv, err := inventory.ReadComplete(data)
			if err != nil {
				return err
			}
			return a.printSummary(inv)
		},
	}
}

func (a *app) printSummary(inv *inventory.Inventory) error {
	databases := 0
	for _, service := range inv.Services {
		databases += len(service.Databases)
	}
	summary := struct {
		Instances  int `json:"instances"`
		Services   int `json:"services"`
		Databases  int `json:"databases"`
		Workspaces int `json:"workspaces"`
		Routes     int `json:"routes"`
	}{len(inv.Instances), len(inv.Services), databases, len(inv.Workspaces), len(inv.Routes)}
	return a.printer.Print(summary, output.Table{
		Title: "The document has no faults.",
		Rows: [][]string{
			{"instances", strconv.Itoa(summary.Instances)},
			{"services", strconv.Itoa(summary.Services)},
			{"databases", strconv.Itoa(summary.Databases)},
			{"workspaces", strconv.Itoa(summary.Workspaces)},
			{"routes", strconv.Itoa(summary.Routes)},
		},
	})
}

func (a *app) inventoryApply() *cobra.Command {
	var base uint64
	var operation string
	var wait bool
	cmd := &cobra.Command{
		Use:   "apply FILE --base REVISION",
		Short: "Apply a document that replaces the revision it was based on",
		Long: `Apply a document that replaces the revision it was based on.

--base is the revision that you edited ("lentilctl inventory show" prints it), 0 for the first one. If another change was
accepted first, nothing is applied and that change is shown. After a lost response, repeat the command with the printed
--operation: a change that was already accepted returns its original response.`,
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("base") {
				return failure.Usagef("inventory apply needs --base, the revision that you edited; 0 for the first one")
			}
			data, err := a.readDocument(args[0])
			if err != nil {
				return err
			}
			if _, err := inventory.ReadComplete(data); err != nil {
				return err
			}
			ctx, cancel, c, err := a.connect(cmd.Context())
			if err != nil {
				return err
			}
			defer cancel()
			return a.apply(ctx, c, protocol.ApplyInventory{
				Operation: operationIDOrNew(operation), Base: inventory.Revision(base), Document: string(data),
			}, wait)
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "revision that the document is based on")
	cmd.Flags().StringVar(&operation, "operation", "", "operation id of an earlier attempt; a new one by default")
	cmd.Flags().BoolVar(&wait, "wait", true, "wait until the revision is in force everywhere")
	return cmd
}

// applyResult is the printed result of an accepted change.
type applyResult struct {
	Revision  inventory.Revision   `json:"revision"`
	Operation protocol.OperationID `json:"operation"`
	Accepted  time.Time            `json:"accepted"`
	InForce   bool                 `json:"inForce"`
}

// apply submits a change, optionally waits until it is in force, and prints the result.
func (a *app) apply(ctx context.Context, c *client.Client, change protocol.ApplyInventory, wait bool) error {
	record, err := c.Apply(ctx, change)
	if err != nil {
		return fmt.Errorf("operation %s: %w", change.Operation, err)
	}
	result := applyResult{Revision: record.Revision, Operation: record.Operation, Accepted: record.Accepted}
	var waiting protocol.InForce
	if wait {
		if waiting, err = c.WaitInForce(ctx, record.Revision); err != nil {
			return fmt.Errorf("revision %d is accepted: %w", record.Revision, err)
		}
		result.InForce = waiting.InForce
	}
	if err := a.printer.Print(result, output.Table{Rows: [][]string{
		{"revision", fmt.Sprint(result.Revision)},
		{"operation", string(result.Operation)},
		{"in force", strconv.FormatBool(result.InForce)},
	}}); err != nil {
		return err
	}
	if wait && !waiting.InForce {
		return &failure.Error{
			Code: failure.CodeNotInForce,
			Err:  fmt.Errorf("revision %d is accepted but not yet in force; waiting for %v", record.Revision, waiting.WaitingFor),
		}
	}
	return nil
}

func (a *app) inventoryShow() *cobra.Command {
	var revision uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the accepted document, or an earlier one",
		Args:  exactArgs(0),
		RunE: a.withClient(func(ctx context.Context, c *client.Client, _ []string) error {
			record, err := fetchRevision(ctx, c, inventory.Revision(revision))
			if err != nil {
				return err
			}
			if a.printer.Format == output.FormatJSON {
				return a.printer.Print(record)
			}
			fmt.Fprintf(a.out, "// Revision %d, accepted %s from %s.\n%s", record.Revision,
				record.Accepted.Format(time.RFC3339), record.Operator, record.Document)
			return nil
		}),
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to print; the newest by default")
	return cmd
}

// fetchRevision returns the given revision, or the newest one if revision is 0.
func fetchRevision(ctx context.Context, c *client.Client, revision inventory.Revision) (protocol.InventoryRecord, error) {
	if revision == 0 {
		return c.Inventory(ctx)
	}
	return c.Revision(ctx, revision)
}

func (a *app) inventoryHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted revisions",
		Args:  exactArgs(0),
		RunE: a.withClient(func(ctx context.Context, c *client.Client, _ []string) error {
			records, err := c.History(ctx)
			if err != nil {
				return err
			}
			table := output.Table{Header: []string{"REVISION", "ACCEPTED", "OPERATOR", "OPERATION"}}
			for _, r := range records {
				table.Rows = append(table.Rows, []string{
					fmt.Sprint(r.Revision), r.Accepted.Format(time.RFC3339), r.Operator, string(r.Operation),
				})
			}
			return a.printer.Print(records, table)
		}),
	}
}
