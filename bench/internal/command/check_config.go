package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/internal/experiment"
	"lentilwind.dev/instance/settings"
)

func newCheckConfig() *cobra.Command {
	var isFaultPlan bool
	cmd := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check the settings of a simulated database, or a fault plan, and list every problem in the file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkFile(args[0], isFaultPlan); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "The file has no faults.")
			return nil
		},
	}
	cmd.Flags().BoolVar(&isFaultPlan, "faults", false, "the file is a fault plan")
	return cmd
}

func checkFile(path string, isFaultPlan bool) error {
	if isFaultPlan {
		_, err := experiment.ReadPlan(path)
		return err
	}
	return settings.Read(path, &database.Config{})
}
