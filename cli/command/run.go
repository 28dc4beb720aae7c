package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/cli/client"
	"github.com/basilferry/basilferry/cli/output"
)

// Default values of the fields of Env.
const (
	defaultPollInterval     = 500 * time.Millisecond
	defaultProgressInterval = 2 * time.Second
)

// Env contains the standard streams of the process and the intervals of waits.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	// PollInterval is the time between two polls during a wait, and
	// ProgressInterval is the time between two progress lines. Zero means the
	// default.
	PollInterval, ProgressInterval time.Duration
}

// Run runs the command line and returns the exit code. The first element of args
// is the name of the program.
func Run(ctx context.Context, args []string, env Env) int {
	if env.PollInterval == 0 {
		env.PollInterval = defaultPollInterval
	}
	if env.ProgressInterval == 0 {
		env.ProgressInterval = defaultProgressInterval
	}
	err := newRootCommand(&env).Run(ctx, args)
	if err != nil {
		printError(env.Err, err)
	}
	return exitCode(err)
}

func newRootCommand(env *Env) *cli.Command {
	root := &cli.Command{
		Name:                            "basilferry",
		Usage:                           "submit work to basilferry and operate it",
		Flags:                           globalFlags(),
		Commands:                        env.commands(),
		Reader:                          env.In,
		Writer:                          env.Out,
		ErrWriter:                       env.Err,
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: showCompletion,
		// An empty handler keeps the library from exiting; Run returns the exit
		// code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	applyDefaults(root)
	return root
}

func (e *Env) commands() []*cli.Command {
	return []*cli.Command{
		e.submit(),
		e.get(),
		e.cancel(),
		e.ids(),
		e.explain(),
		e.preset(),
		e.domain(),
		e.quota(),
		e.workers(),
		e.nodes(),
		e.config(),
		e.burn(),
		e.capacity(),
		e.standin(),
		e.trace(),
		e.accounts(),
		e.version(),
	}
}

// showCompletion lists the completion command in the help, from which the library
// hides it by default.
func showCompletion(c *cli.Command) { c.Hidden = false }

// Names of the global flags.
const (
	flagNode    = "node"
	flagToken   = "token"
	flagTimeout = "timeout"
	flagOutput  = "output"
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    flagNode,
			Usage:   "`URL` of an entry node; repeat the flag or separate URLs by commas; the next node is tried when one does not respond",
			Sources: cli.EnvVars("BASILFERRY_NODES"),
		},
		&cli.StringFlag{Name: flagToken, Usage: "operator `TOKEN`", Sources: cli.EnvVars("BASILFERRY_TOKEN")},
		&cli.DurationFlag{Name: flagTimeout, Usage: "maximum duration of a call to one node", Value: client.DefaultTimeout},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "output format, table or json", Value: string(output.FormatTable)},
	}
}

// applyDefaults sets the options that all commands share: how they parse
// arguments and how they report invalid usage.
func applyDefaults(c *cli.Command) {
	c.DisableSliceFlagSeparator = true
	// Without subcommands there is no help command, so that an argument can be
	// "help" or "h".
	c.HideHelpCommand = len(c.Commands) == 0
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError(err.Error(), "see basilferry --help for the commands and their flags")
	}
	if c.Action == nil {
		c.Action = requireSubcommand
	}
	for _, sub := range c.Commands {
		applyDefaults(sub)
	}
}

// requireSubcommand is the action of a command that only has subcommands.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	var names []string
	for _, sub := range c.VisibleCommands() {
		names = append(names, sub.Name)
	}
	remedy := "use one of " + strings.Join(names, ", ") + "; see " + c.FullName() + " --help"
	if !c.Args().Present() {
		return usageError(c.FullName()+" needs a command", remedy)
	}
	return usageError(fmt.Sprintf("%s has no command %q", c.FullName(), c.Args().First()), remedy)
}

// newClient returns a client for the global flags.
func newClient(c *cli.Command) (*client.Client, error) {
	return client.New(client.Options{
		Nodes:   splitNodeURLs(c.StringSlice(flagNode)),
		Token:   c.String(flagToken),
		Timeout: c.Duration(flagTimeout),
	})
}

// splitNodeURLs splits values that contain several URLs separated by commas or
// spaces.
func splitNodeURLs(values []string) []string {
	var urls []string
	for _, v := range values {
		urls = append(urls, strings.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ' ' })...)
	}
	return urls
}

// show writes a result in the requested output format.
func (e *Env) show(c *cli.Command, value any, table func(io.Writer) error) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	if format == output.FormatJSON {
		return output.WriteJSON(e.Out, value)
	}
	return table(e.Out)
}

func outputFormat(c *cli.Command) (output.Format, error) {
	format := output.Format(c.String(flagOutput))
	if !format.Valid() {
		return format, usageError(fmt.Sprintf("output format %q is unknown", format), "use --output table or --output json")
	}
	return format, nil
}

// action returns an action that checks the number of arguments and the output
// format before it calls run, so that an invalid command line has no effect.
func action(arguments int, run func(context.Context, *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if got := c.Args().Len(); got != arguments {
			message := fmt.Sprintf("%s takes %d argument(s), not %d", c.FullName(), arguments, got)
			return usageError(message, "use "+strings.TrimSpace(c.FullName()+" "+c.ArgsUsage))
		}
		if _, err := outputFormat(c); err != nil {
			return err
		}
		return run(ctx, c)
	}
}

// clientAction is like action, for a command that calls entry nodes.
func clientAction(arguments int, run func(context.Context, *cli.Command, *client.Client) error) cli.ActionFunc {
	return action(arguments, func(ctx context.Context, c *cli.Command) error {
		cl, err := newClient(c)
		if err != nil {
			return err
		}
		return run(ctx, c, cl)
	})
}
