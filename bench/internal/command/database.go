package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/instance/settings"
)

func newDatabase() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "database",
		Short: "Run a simulated database; SIGUSR1 makes it leave and then stop, SIGTERM stops it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDatabase(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runDatabase(ctx context.Context, path string) error {
	var cfg database.Config
	if err := settings.Read(path, &cfg); err != nil {
		return err
	}
	for _, p := range []*string{&cfg.DataFolder, &cfg.RecordFile, &cfg.ReceivedFolder} {
		*p = settings.ResolvePath(path, *p)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	defer signal.Stop(leave)
	server, err := database.Start(cfg)
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s\n", cfg.Server, server.Address())
	for {
		select {
		case <-leave:
			server.Leave()
		case <-ctx.Done():
			return server.Close()
		case <-server.Stopped():
			return server.Close()
		}
	}
}
