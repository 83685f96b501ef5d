package command

import (
	"os"

	"github.com/spf13/cobra"

	"lentilwind.dev/control/internal/settings"
)

func newRunCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "run", Short: "Run this control process until SIGTERM or SIGINT"}
	return withSettings(cmd, func(cmd *cobra.Command, s *settings.Settings) error {
		p, err := newProcess(s, os.Stderr)
		if err != nil {
			return err
		}
		return p.run(cmd.Context())
	})
}
