// Command standin-platform is a fake of the platform's configuration service and instance list for tests and trials.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-platform",
		Usage: "serve a configuration and an instance list with long polling",
		Description: "Files are published at the start and whenever they change. The control endpoint accepts:\n" +
			"  POST /control/config?revision=N, POST /control/instances?revision=N   publish the body\n" +
			"  POST /control/down?mode=off|error|hang                                simulate an outage of the platform\n" +
			"  POST /control/delay?ms=N                                              delay each response\n" +
			"  POST /control/stale?address=I&kind=config|instances&revision=N        serve an earlier revision\n" +
			"  GET  /control/reads                                                   return the counts of reads\n\n" +
			"Example:\n  standin-platform --listen 127.0.0.1:21900 --listen 127.0.0.1:21901 --control 127.0.0.1:21902 \\\n" +
			"    --config examples/vanua/config.yaml --instances examples/vanua/instances.yaml",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "listen", Usage: "IP:port that serves the documents; may be repeated", Required: true},
			&cli.StringFlag{Name: "control", Usage: "IP:port of the control endpoint", Required: true},
			&cli.StringFlag{Name: "config", Usage: "file with the configuration document"},
			&cli.StringFlag{Name: "instances", Usage: "file with the instance list"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	platform, err := standin.NewPlatform(standin.PlatformOptions{
		Addresses:      c.StringSlice("listen"),
		ControlAddress: c.String("control"),
		ConfigFile:     c.String("config"),
		InstancesFile:  c.String("instances"),
		Clock:          clockwork.NewRealClock(),
	})
	if err != nil {
		return err
	}
	return platform.Serve(ctx)
}
