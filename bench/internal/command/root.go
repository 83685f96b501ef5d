package command

import "github.com/spf13/cobra"

// New returns the root command with all subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "lentil-bench",
		Short:         "Simulated databases, load generation and reports for lentilwind",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDatabase(), newDemo(), newRun(), newCompare(), newSlopes(), newCheckConfig())
	return root
}
