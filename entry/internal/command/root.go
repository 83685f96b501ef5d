package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"lentilwind.dev/entry/internal/settings"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "lentil-entry",
		Short:         "Proxy between callers and the database groups behind them",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newCheckConfigCommand())
	return root
}

func newCheckConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a settings file and list every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Read(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "The file has no faults.")
			return err
		},
	}
}

func newRunCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the entry until it is told to stop",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Read(file)
			if err != nil {
				return err
			}
			return run(cmd.Context(), s, cmd.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return cmd
}
