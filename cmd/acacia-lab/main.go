// Command acacia-lab starts complete deployments on loopback for demonstrations and measurements. It is not part of the
// system that operators run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "acacia-lab:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "acacia-lab",
		Usage: "start a complete deployment on loopback to demonstrate or measure it",
		Commands: []*cli.Command{
			demoCommand(), measureCommand(), overheadCommand(), controlCommand(), reportCommand(), emulateCommand(),
		},
	}
}

func deploymentFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Value: "vanua", Usage: "name of the example: vanua or alba"},
		&cli.StringFlag{Name: "examples", Value: "examples", Usage: "`FOLDER` of the examples"},
		&cli.BoolFlag{Name: "free-ports", Usage: "use free ports instead of the ports of the example"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
	}
}

func loadDeployment(cmd *cli.Command) (*lab.Deployment, error) {
	d, err := lab.LoadExample(filepath.Join(cmd.String("examples"), cmd.String("deployment")))
	if err != nil {
		return nil, err
	}
	if cmd.Bool("free-ports") {
		err = d.UseFreePorts()
	}
	return d, err
}
