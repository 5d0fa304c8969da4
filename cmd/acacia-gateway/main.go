// Command acacia-gateway serves callers on an entry instance.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/daemon"
	"github.com/acacialift/acacialift/internal/gateway"
	"github.com/acacialift/acacialift/internal/settings"
)

func main() {
	command := &cli.Command{
		Name:  "acacia-gateway",
		Usage: "serve callers: admission, routing, streaming",
		Description: "SIGTERM or SIGINT starts a graceful shutdown: the gateway accepts requests for the balancer lag, then\n" +
			"refuses new ones, and exits when all requests are complete. A second signal ends it immediately.\n\n" +
			"Example: acacia-gateway --settings gateway.yaml",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in YAML", Required: true}},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	s, err := settings.LoadGateway(command.String("settings"))
	if err != nil {
		return err
	}
	log, err := daemon.NewLogger(&s.Common, "gateway")
	if err != nil {
		return err
	}
	g, err := gateway.New(s, log)
	if err != nil {
		return err
	}
	return daemon.Run(ctx, g)
}
