package command

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lentilwind.dev/control/internal/settings"
)

func newRunCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "run", Short: "Run this control process until SIGTERM or SIGINT"}
	return withSettings(cmd, func(cmd *cobra.Command, s *settings.Settings) error {
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		p, err := newProcess(s, os.Stderr)
		if err != nil {
			return err
		}
		return p.run(ctx)
	})
}
