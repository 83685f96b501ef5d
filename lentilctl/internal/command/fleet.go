package command

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilctl/internal/plan"
)

func (a *app) fleet() *cobra.Command {
	return commandGroup("fleet", "Create the certificates and settings of a fleet",
		a.fleetInit(), a.fleetRenew(), a.fleetExpiry(), a.fleetSample())
}

func (a *app) fleetInit() *cobra.Command {
	var planPath, dir, inventoryPath string
	cmd := &cobra.Command{
		Use:   "init --plan FILE --dir DIR",
		Short: "Create the certificate authority, certificates, settings and a sample inventory",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			if planPath == "" || dir == "" {
				return failure.Usagef("fleet init needs --plan and --dir")
			}
			p, err := plan.Read(planPath)
			if err != nil {
				return err
			}
			planText, err := os.ReadFile(planPath)
			if err != nil {
				return err
			}
			inventoryText := plan.SampleInventory
			if inventoryPath != "" {
				if inventoryText, err = os.ReadFile(inventoryPath); err != nil {
					return err
				}
			}
			issued, err := plan.Initialise(dir, p, planText, inventoryText, time.Now())
			if err != nil {
				return err
			}
			return a.printIssued(issued)
		},
	}
	cmd.Flags().StringVar(&planPath, "plan", "", "fleet plan; see \"lentilctl fleet sample\"")
	cmd.Flags().StringVar(&dir, "dir", "", "folder to create the files in")
	cmd.Flags().StringVar(&inventoryPath, "inventory", "", "inventory to copy instead of the sample")
	return cmd
}

func (a *app) fleetRenew() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "renew --dir DIR [NAME ...]",
		Short: "Issue new certificates; running processes reload replaced files",
		RunE: func(_ *cobra.Command, names []string) error {
			if dir == "" {
				return failure.Usagef("fleet renew needs --dir")
			}
			p, err := plan.Read(filepath.Join(dir, "plan.jsonc"))
			if err != nil {
				return err
			}
			issued, err := plan.Renew(dir, p, names, time.Now())
			if err != nil {
				return err
			}
			return a.printIssued(issued)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "the fleet's folder")
	return cmd
}

func (a *app) fleetExpiry() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "expiry --dir DIR",
		Short: "List the certificates with their expiry times",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			if dir == "" {
				return failure.Usagef("fleet expiry needs --dir")
			}
			issued, err := plan.Expiry(dir)
			if err != nil {
				return err
			}
			return a.printIssued(issued)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "the fleet's folder")
	return cmd
}

func (a *app) fleetSample() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "sample --dir DIR",
		Short: "Write a commented sample plan and inventory to start from",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			if dir == "" {
				return failure.Usagef("fleet sample needs --dir")
			}
			if err := os.MkdirAll(dir, 0o750); err != nil {
				return err
			}
			planPath, inventoryPath := filepath.Join(dir, "plan.jsonc"), filepath.Join(dir, "inventory.jsonc")
			if err := writeNew(planPath, plan.SamplePlan); err != nil {
				return err
			}
			if err := writeNew(inventoryPath, plan.SampleInventory); err != nil {
				return err
			}
			return a.printer.Print(struct {
				Plan      string `json:"plan"`
				Inventory string `json:"inventory"`
			}{planPath, inventoryPath}, output.Table{Rows: [][]string{{"plan", planPath}, {"inventory", inventoryPath}}})
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "folder to write to")
	return cmd
}

// writeNew creates a file; the file must not exist yet.
func writeNew(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s already exists; choose another path", path)
	}
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Close())
}

func (a *app) printIssued(issued []plan.IssuedCertificate) error {
	table := output.Table{Header: []string{"NAME", "ROLE", "EXPIRES", "FOLDER"}}
	for _, i := range issued {
		table.Rows = append(table.Rows, []string{i.Name, string(i.Role), i.Expires.Format(time.RFC3339), i.Folder})
	}
	return a.printer.Print(issued, table)
}
