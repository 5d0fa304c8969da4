// Command acacia-gateway serves callers on an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/gateway"
	"github.com/acacialift/acacialift/internal/logging"
	"github.com/acacialift/acacialift/internal/settings"
)

func main() {
	command := &cli.Command{
		Name:  "acacia-gateway",
		Usage: "serve callers: admission, routing, streaming",
		Description: "SIGTERM or SIGINT starts a planned stop: the gateway goes on for the balancer's lag, refuses new\n" +
			"work after it, and ends when all requests have ended. A second signal ends it at once.\n\n" +
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
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log := logging.New(os.Stderr, level, s.Instance, "gateway")
	logging.RouteNbio(log)
	g, err := gateway.New(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			g.StartDrain("signal")
		case <-g.Drained():
		}
		select {
		case <-signals:
		case <-g.Drained():
		}
		cancel()
	}()
	if err := g.Serve(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
