// Command acacia-lab measures fleets of real processes on loopback.
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
	command := &cli.Command{
		Name:     "acacia-lab",
		Usage:    "measure fleets of real processes on loopback",
		Commands: []*cli.Command{controlCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "acacia-lab:", err)
		os.Exit(1)
	}
}
