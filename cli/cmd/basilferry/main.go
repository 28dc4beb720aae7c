// Command basilferry is the command line for operators and for clients that
// submit work.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/basilferry/basilferry/cli/command"
)

func main() {
	os.Exit(run())
}

// run runs the command line and returns its exit code. SIGINT and SIGTERM cancel
// commands that serve or wait.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args, command.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
