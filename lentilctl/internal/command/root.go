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

// app holds what all commands share.
type app struct {
	in      io.Reader
	out     io.Writer
	config  string
	timeout time.Duration
	printer output.Printer
}

// Execute runs one command line and returns its exit code.
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
	root := group("lentilctl", "Operate a lentilwind fleet")
	root.Long = "Operate a lentilwind fleet.\n\nExit codes:\n" + failure.ExitCodeTable
	root.SilenceUsage = true
	root.SilenceErrors = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return failure.Usagef("%w", err) })
	flags := root.PersistentFlags()
	flags.StringVar(&a.config, "config", os.Getenv(configVariable), "settings file of lentilctl; defaults to $"+configVariable)
	flags.DurationVar(&a.timeout, "timeout", client.DefaultTimeout, "how long to try before giving up")
	flags.VarP(&a.printer.Format, "output", "o", "form of the results")
	root.AddCommand(a.fleet(), a.inventory(), a.key(), a.status(), a.control(), a.timeline())
	return root
}

// group returns a command that only holds others; a wrong name below it is a usage error.
func group(use, short string, children ...*cobra.Command) *cobra.Command {
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

// exactArgs is cobra.ExactArgs with the exit code of usage errors.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return failure.Usagef("%q takes %d arguments, got %d; usage: %s", cmd.CommandPath(), n, len(args), cmd.UseLine())
		}
		return nil
	}
}

// connect returns a client and a context that ends with the timeout.
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

// online returns the body of a command that talks to control.
func (a *app) online(run func(ctx context.Context, c *client.Client, args []string) error) func(*cobra.Command, []string) error {
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
	var operator *protocol.OperatorError
	var refused *jsonc.Error
	switch {
	case a.printer.Format == output.FormatJSON:
		a.printJSONError(w, err)
	case errors.As(err, &operator):
		printOperatorError(w, operator)
	case errors.As(err, &refused):
		printProblems(w, refused.Problems)
	default:
		fmt.Fprintf(w, "lentilctl: %v\n", err)
	}
}

func (a *app) printJSONError(w io.Writer, err error) {
	var operator *protocol.OperatorError
	var refused *jsonc.Error
	body := struct {
		ExitCode failure.Code            `json:"exitCode"`
		Message  string                  `json:"message"`
		Problems []jsonc.Problem         `json:"problems,omitempty"`
		Operator *protocol.OperatorError `json:"error,omitempty"`
	}{ExitCode: failure.CodeOf(err), Message: err.Error()}
	if errors.As(err, &operator) {
		body.Operator = operator
	} else if errors.As(err, &refused) {
		body.Problems = refused.Problems
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
