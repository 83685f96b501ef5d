package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"lentilwind.dev/control/internal/replica"
	"lentilwind.dev/control/internal/settings"
)

func newRestoreCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "restore",
		Short: "Begin a new fleet of control processes from a saved snapshot, in an empty data folder",
	}
	cmd.Flags().StringVar(&file, "snapshot", "", "file that \"lentilctl control snapshot\" saved")
	_ = cmd.MarkFlagRequired("snapshot")
	return withSettings(cmd, func(cmd *cobra.Command, s *settings.Settings) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("command: %w", err)
		}
		snapshot, err := replica.Restore(s, file, data)
		if err != nil {
			return err
		}
		cmd.Printf("restored the state up to journal index %d; start this process, then add the others\n", snapshot.Index)
		return nil
	})
}
