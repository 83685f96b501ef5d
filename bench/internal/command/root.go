package command

import "github.com/spf13/cobra"

// New returns the command with all of its subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "lentil-bench",
		Short:         "Stand-in databases, load and reports for lentilwind",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDatabase(), newDemo(), newRun(), newCompare(), newSlopes(), newCheckConfig())
	return root
}
