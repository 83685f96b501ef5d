package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/internal/experiment"
	"lentilwind.dev/instance/settings"
)

func newCheckConfig() *cobra.Command {
	var faults bool
	cmd := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check the settings of a stand-in database, or a fault plan, and list every fault of the file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkFile(args[0], faults); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "The file has no faults.")
			return nil
		},
	}
	cmd.Flags().BoolVar(&faults, "faults", false, "the file is a fault plan")
	return cmd
}

func checkFile(path string, faults bool) error {
	if faults {
		_, err := experiment.ReadPlan(path)
		return err
	}
	return settings.Read(path, &database.Config{})
}
