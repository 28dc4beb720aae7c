// Command basilferryd is the entry node daemon. With --embedded, it runs stand-ins
// for the platform services, all entry nodes of the settings and a load generator
// in one process, and prints a report.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/app"
	"github.com/basilferry/basilferry/node/logclient"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/node/vmclient"
	"github.com/basilferry/basilferry/node/workerclient"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "basilferryd:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "basilferryd",
		Usage: "run an entry node",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file, JSON with comments"},
			&cli.BoolFlag{Name: "platform", Usage: "run as an entry node of the platform, which provides the path of the settings file"},
			&cli.BoolFlag{Name: "embedded", Usage: "run stand-ins, all entry nodes and a load generator in this process"},
			&cli.BoolFlag{Name: "logs", Usage: "with --embedded, print the log lines of the nodes to standard error"},
			&cli.BoolFlag{Name: "stay", Usage: "with --embedded, keep serving after the load generator is done, until interrupted"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if c.Bool("platform") {
		return runOnPlatform(ctx)
	}
	if c.String("settings") == "" {
		return fmt.Errorf("no settings file is given; use --settings FILE or --platform")
	}
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	if c.Bool("embedded") {
		return runEmbedded(ctx, s, logOutput(c.Bool("logs")), c.Bool("stay"))
	}
	return runNode(ctx, s)
}

func logOutput(shown bool) io.Writer {
	if shown {
		return os.Stderr
	}
	return io.Discard
}

// runNode runs an entry node until ctx is done and then shuts it down gracefully.
func runNode(ctx context.Context, s settings.Settings) error {
	node := app.New(s, app.Platform{
		Log:       logclient.New(s.Platform.LogURL),
		VMs:       vmclient.New(s.Platform.VMListURL),
		Dial:      func(address string) platform.Worker { return workerclient.New(address) },
		IsNotSent: workerclient.IsNotSent,
	}, os.Stderr)
	if err := node.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return node.Stop(context.Background())
}

func runEmbedded(ctx context.Context, s settings.Settings, logs io.Writer, stay bool) error {
	if s.Embedded == nil {
		return fmt.Errorf("the settings have no embedded section; use one of the files in samples")
	}
	e := app.NewEmbedded(s, logs)
	fmt.Printf("starting %d nodes and %d workers in %d failure domains\n",
		len(s.Cluster.Nodes), s.Embedded.WorkersPerDomain*len(s.Cluster.Domains), len(s.Cluster.Domains))
	if err := e.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("sending requests; send your own with\n  basilferry --node http://%s submit ...\n", s.Cluster.Nodes[0].HTTPAddress)
	report := e.RunLoad(ctx)
	if stay {
		fmt.Println("load sent; serving until interrupted")
		<-ctx.Done()
	}
	if err := e.Stop(context.Background()); err != nil {
		return err
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	return app.AuditAttempts(e.History(), s.Embedded.Worker).Write(os.Stdout)
}
