package command

import (
	"context"
	"errors"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"lentilwind.dev/instance/settings"
	"lentilwind.dev/lentilctl/internal/client"
	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

func (a *app) control() *cobra.Command {
	return commandGroup("control", "Show and change the members of control",
		a.controlStatus(), a.controlMember("add", "Add a process; it gets a vote once it has caught up", true),
		a.controlMember("remove", "Remove a process", false), a.controlReplace(), a.controlSnapshot())
}

func (a *app) controlStatus() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the control processes",
		Args:  exactArgs(0),
		RunE: a.withClient(func(ctx context.Context, c *client.Client, _ []string) error {
			status, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return a.printer.Print(status.Members, membersTable(status.Members))
		}),
	}
}

// memberChange is the request body of POST /v1/members.
type memberChange struct {
	Action  string                 `json:"action"`
	Name    inventory.InstanceName `json:"name"`
	Address string                 `json:"address,omitempty"`
	Replace inventory.InstanceName `json:"replace,omitempty"`
}

func (a *app) controlMember(action, short string, withAddress bool) *cobra.Command {
	use := action + " NAME"
	if withAddress {
		use += " ADDRESS"
	}
	argCount := 1
	if withAddress {
		argCount = 2
	}
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactArgs(argCount),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := memberChange{Action: action, Name: inventory.InstanceName(args[0])}
			if withAddress {
				change.Address = args[1]
			}
			return a.changeMembers(cmd, change)
		},
	}
}

func (a *app) controlReplace() *cobra.Command {
	return &cobra.Command{
		Use:   "replace OLD NEW ADDRESS",
		Short: "Replace a lost process; the old one is removed once the new one has caught up",
		Args:  exactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.changeMembers(cmd, memberChange{
				Action: "replace", Replace: inventory.InstanceName(args[0]), Name: inventory.InstanceName(args[1]), Address: args[2],
			})
		},
	}
}

func (a *app) changeMembers(cmd *cobra.Command, change memberChange) error {
	if change.Address != "" {
		if problems := settings.CheckAddress("", change.Address); len(problems) > 0 {
			return &failure.Error{Code: failure.CodeUsage, Err: &jsonc.Error{Problems: problems}}
		}
	}
	ctx, cancel, c, err := a.connect(cmd.Context())
	if err != nil {
		return err
	}
	defer cancel()
	var result struct {
		Changed bool `json:"changed"`
	}
	if err := c.Do(ctx, http.MethodPost, "/v1/members", change, &result); err != nil {
		return err
	}
	return a.printer.Print(change, output.Table{Rows: [][]string{{change.Action, string(change.Name)}}})
}

func (a *app) controlSnapshot() *cobra.Command {
	return &cobra.Command{
		Use:   "snapshot FILE",
		Short: "Save a snapshot of the control state; \"lentil-control restore\" starts new control processes from it",
		Args:  exactArgs(1),
		RunE: a.withClient(func(ctx context.Context, c *client.Client, args []string) error {
			data, err := c.Snapshot(ctx)
			if err != nil {
				return err
			}
			if err := writeSynced(args[0], data); err != nil {
				return err
			}
			return a.printer.Print(struct {
				File  string `json:"file"`
				Bytes int    `json:"bytes"`
			}{args[0], len(data)}, output.Table{Rows: [][]string{{"saved", args[0]}}})
		}),
	}
}

// writeSynced creates a file and syncs it to disk; the file must not exist yet.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Sync(), file.Close())
}
