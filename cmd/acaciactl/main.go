// Command acaciactl is the command-line client for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "acaciactl:", err)
		os.Exit(1)
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "acaciactl",
		Usage: "operate and test acacialift deployments",
		Commands: []*cli.Command{
			checkCommand(),
			statusCommand(),
			drainCommand(),
			explainCommand(),
			loadCommand(),
		},
	}
}
