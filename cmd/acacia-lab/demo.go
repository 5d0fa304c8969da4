package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/lab"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start a deployment, send a short mixed load, and print its results and the status for operators",
		Flags: append(deploymentFlags(),
			&cli.IntFlag{Name: "requests", Value: 300, Usage: "number of requests"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "mean arrivals per second"},
			&cli.StringFlag{Name: "out", Value: "out/demo", Usage: "`FOLDER` for settings and logs"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the deployment running until interrupted"},
		),
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	d, err := loadDeployment(cmd)
	if err != nil {
		return err
	}
	demo := lab.Demo{
		Options:       lab.Options{Folder: cmd.String("out")},
		Requests:      cmd.Int("requests"),
		Rate:          cmd.Float("rate"),
		Seed:          cmd.Uint64("seed"),
		KeepRunning:   cmd.Bool("keep"),
		CommandFolder: filepath.Dir(os.Args[0]),
	}
	return demo.Run(ctx, d, cmd.Root().Writer)
}
