package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/lab"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure the system and two baselines: time to first token, effect of long prompts, return of a failure domain",
		Flags: append(deploymentFlags(),
			&cli.IntFlag{Name: "runs", Value: 3, Usage: "number of runs"},
			&cli.StringFlag{Name: "out", Value: "out/measure", Usage: "`FOLDER` for results and logs"},
			&cli.FloatFlag{Name: "load", Value: 0.6, Usage: "fraction of the prefill capacity to use"},
			&cli.FloatFlag{Name: "domain-load", Value: 0.4, Usage: "fraction to use while a failure domain leaves and returns"},
			&cli.DurationFlag{Name: "phase-time", Value: 20 * time.Second, Usage: "duration of each mixed load"},
			&cli.DurationFlag{Name: "domain-time", Value: 40 * time.Second, Usage: "load duration while a domain leaves and returns"},
			&cli.DurationFlag{Name: "budget", Value: 20 * time.Second, Usage: "time budget of each request"},
			&cli.BoolFlag{Name: "parallel", Usage: "run all variants at the same time, on free ports"},
			&cli.StringFlag{Name: "note", Usage: "label of the results, for example trial"},
		),
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, cmd *cli.Command) error {
	m := lab.Comparison{
		Deployment: cmd.String("deployment"),
		Seed:       cmd.Uint64("seed"),
		Runs:       cmd.Int("runs"),
		Folder:     cmd.String("out"),
		Load:       cmd.Float("load"),
		DomainLoad: cmd.Float("domain-load"),
		PhaseTime:  cmd.Duration("phase-time"),
		DomainTime: cmd.Duration("domain-time"),
		Budget:     cmd.Duration("budget"),
		Parallel:   cmd.Bool("parallel"),
		Note:       cmd.String("note"),
	}
	load := func() (*lab.Deployment, error) {
		d, err := loadDeployment(cmd)
		if err == nil && m.Parallel {
			err = d.UseFreePorts()
		}
		return d, err
	}
	if err := m.Measure(ctx, load, cmd.Root().Writer); err != nil {
		return err
	}
	return lab.WriteReport(m.Folder, cmd.Root().Writer)
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "print the tables of stored results",
		ArgsUsage: "FOLDER",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return errors.New("expected exactly one folder of results")
			}
			folder, w := cmd.Args().First(), cmd.Root().Writer
			if results, err := filepath.Glob(filepath.Join(folder, "*.json")); err != nil || len(results) == 0 {
				return errors.Join(fmt.Errorf("folder %s contains no results", folder), err)
			}
			if err := lab.WriteReport(folder, w); err != nil {
				return err
			}
			return lab.WriteOverhead(folder, w)
		},
	}
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the latency, CPU time and memory that a gateway adds to direct calls of engines",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.IntFlag{Name: "runs", Value: 3, Usage: "number of runs"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests per second through one gateway"},
			&cli.DurationFlag{Name: "phase-time", Value: 10 * time.Second, Usage: "duration of each load"},
			&cli.StringFlag{Name: "out", Value: "out/overhead", Usage: "`FOLDER` for results and logs"},
			&cli.StringFlag{Name: "note", Usage: "label of the results, for example trial"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			o := lab.Overhead{
				Seed: cmd.Uint64("seed"), Runs: cmd.Int("runs"), Rate: cmd.Float("rate"),
				PhaseTime: cmd.Duration("phase-time"), Folder: cmd.String("out"), Note: cmd.String("note"),
			}
			return o.Measure(ctx, cmd.Root().Writer)
		},
	}
}
