// Command basilferry is the command line for operators and callers.
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

// run ends the commands that serve or wait on SIGINT and SIGTERM.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args, command.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
