package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lentilwind.dev/lentilctl/internal/client"
	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
)

const configVariable = "LENTILCTL_CONFIG"

// app holds the flags and streams that all commands share.
type app struct {
	in      io.Reader
	out     io.Writer
	config  string
	timeout time.Duration
	printer output.Printer
}

// Execute runs the command line given by args and returns its exit code.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{in: in, out: out, printer: output.Printer{W: out, Format: output.FormatTable}}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		a.printError(errOut, err)
	}
	return int(failure.CodeOf(err))
}

func (a *app) root() *cobra.Command {
	root := commandGroup("lentilctl", "Operate a lentilwind fleet")
	root.Long = "Operate a lentilwind fleet.\n\nExit codes:\n" + failure.ExitCodeTable
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return failure.Usagef("%w", err) })
	flags := root.PersistentFlags()
	flags.StringVar(&a.config, "config", os.Getenv(configVariable), "settings file of lentilctl; defaults to $"+configVariable)
	flags.DurationVar(&a.timeout, "timeout", client.DefaultTimeout, "time limit of the command")
	flags.VarP(&a.printer.Format, "output", "o", "output format")
	root.AddCommand(a.fleet(), a.inventory(), a.key(), a.status(), a.control(), a.timeline())
	return root
}

// commandGroup returns a command that only holds subcommands; an unknown subcommand is a usage error.
func commandGroup(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return failure.Usagef("unknown command %q for %q", args[0], cmd.CommandPath())
			}
			return cmd.Help()
		},
	}
	cmd.AddCommand(children...)
	return cmd
}

// exactArgs is like cobra.ExactArgs but returns a usage error.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return failure.Usagef("%q takes %d arguments, got %d; usage: %s", cmd.CommandPath(), n, len(args), cmd.UseLine())
		}
		return nil
	}
}

// connect returns a client and a context that is limited by the --timeout flag.
func (a *app) connect(ctx context.Context) (context.Context, context.CancelFunc, *client.Client, error) {
	if a.config == "" {
		return nil, nil, nil, failure.Usagef("no settings file; use --config FILE or set $%s", configVariable)
	}
	settings, err := client.ReadSettings(a.config)
	if err != nil {
		return nil, nil, nil, err
	}
	c, err := client.New(settings)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	return ctx, cancel, c, nil
}

// withClient wraps a command function that needs a connection to control.
func (a *app) withClient(run func(ctx context.Context, c *client.Client, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, cancel, c, err := a.connect(cmd.Context())
		if err != nil {
			return err
		}
		defer cancel()
		return run(ctx, c, args)
	}
}

func (a *app) printError(w io.Writer, err error) {
	var operatorErr *protocol.OperatorError
	var invalid *jsonc.Error
	switch {
	case a.printer.Format == output.FormatJSON:
		a.printJSONError(w, err)
	case errors.As(err, &operatorErr):
		printOperatorError(w, operatorErr)
	case errors.As(err, &invalid):
		printProblems(w, invalid.Problems)
	default:
		fmt.Fprintf(w, "lentilctl: %v\n", err)
	}
}

func (a *app) printJSONError(w io.Writer, err error) {
	var operatorErr *protocol.OperatorError
	var invalid *jsonc.Error
	body := struct {
		ExitCode failure.Code            `json:"exitCode"`
		Message  string                  `json:"message"`
		Problems []jsonc.Problem         `json:"problems,omitempty"`
		Operator *protocol.OperatorError `json:"error,omitempty"`
	}{ExitCode: failure.CodeOf(err), Message: err.Error()}
	if errors.As(err, &operatorErr) {
		body.Operator = operatorErr
	} else if errors.As(err, &invalid) {
		body.Problems = invalid.Problems
	}
	printer := output.Printer{W: w, Format: output.FormatJSON}
	_ = printer.Print(body)
}

func printOperatorError(w io.Writer, err *protocol.OperatorError) {
	fmt.Fprintf(w, "lentilctl: %s: %s\n", err.Code, err.Message)
	printProblems(w, err.Problems)
	if err.Winner != nil {
		fmt.Fprintf(w, "accepted instead: revision %d, operation %s, by %s at %s\n",
			err.Winner.Revision, err.Winner.Operation, err.Winner.Operator, err.Winner.Accepted.Format(time.RFC3339))
	}
}

func printProblems(w io.Writer, problems []jsonc.Problem) {
	for _, p := range problems {
		fmt.Fprintln(w, p)
	}
}
