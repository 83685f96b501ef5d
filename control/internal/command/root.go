package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/control/internal/storage"
	"lentilwind.dev/lentilwind/jsonc"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	// exitSettings means that the settings file is invalid.
	exitSettings = 2
	// exitCorrupted means that the data folder is damaged and the member must be replaced.
	exitCorrupted = 3
)

// Execute runs the program with the given arguments and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	// Signals are handled before the settings are read: one that comes earlier ends the process without handing over.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "lentil-control:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var invalid *jsonc.Error
	var corrupted *storage.CorruptionError
	switch {
	case errors.As(err, &invalid):
		return exitSettings
	case errors.As(err, &corrupted):
		return exitCorrupted
	}
	return exitFailure
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "lentil-control",
		Short:         "Keeps the replicated state of a lentilwind fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newCheckConfigCommand(), newRestoreCommand())
	return root
}

// withSettings adds a flag for the settings file to a command and reads the file before the command runs.
func withSettings(cmd *cobra.Command, run func(cmd *cobra.Command, s *settings.Settings) error) *cobra.Command {
	var path string
	cmd.Flags().StringVar(&path, "settings", "settings.jsonc", "settings file")
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s, err := settings.Read(path)
		if err != nil {
			return err
		}
		return run(cmd, s)
	}
	return cmd
}

func newCheckConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a settings file and report every problem",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Read(args[0]); err != nil {
				return err
			}
			cmd.Println("The file has no faults.")
			return nil
		},
	}
}
