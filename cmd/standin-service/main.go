// Command standin-service runs the endpoints of a fake plain service for tests and for the examples in the README.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-service:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-service",
		Usage: "run the endpoints of a fake plain service on consecutive ports; all endpoints record their bookings in common",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:21200", Usage: "address of the first endpoint"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number of endpoints"},
			&cli.DurationFlag{Name: "delay", Usage: "duration of each request"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	addresses, err := standin.ConsecutiveAddresses(cmd.String("listen"), cmd.Int("count"))
	if err != nil {
		return err
	}
	ledger := standin.NewLedger()
	services := make([]*standin.Service, 0, len(addresses))
	for _, address := range addresses {
		service, err := standin.NewService(standin.ServiceOptions{
			Address: address,
			Delay:   cmd.Duration("delay"),
			Ledger:  ledger,
		})
		if err != nil {
			return err
		}
		services = append(services, service)
	}
	return standin.ServeAll(ctx, services)
}
