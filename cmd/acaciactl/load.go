package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/loadgen"
)

// loadCommand returns "acaciactl load", which fails if any answer broke a promise to its caller.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send load at a fixed rate, check every answer and measure",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "gateways", Usage: "IP:port addresses, used in turn"},
			&cli.IntFlag{Name: "requests", Value: 1000, Usage: "number of requests"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "mean arrivals per second"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the plan"},
			&cli.FloatFlag{Name: "long-share", Value: 0.02, Usage: "share of prompts over 100 k tokens"},
			&cli.StringFlag{Name: "team-header", Value: "X-Acacia-Team", Usage: "header that names the team"},
			&cli.StringSliceFlag{Name: "teams", Usage: "team names, the first three large (default team-01 to team-10)"},
			&cli.StringSliceFlag{Name: "profile", Usage: "model profiles, drawn with equal chance"},
			&cli.IntFlag{Name: "min-output-tokens", Value: 8, Usage: "least output length"},
			&cli.IntFlag{Name: "max-output-tokens", Value: 64, Usage: "greatest output length"},
			&cli.FloatFlag{Name: "chat-share", Value: 0.2, Usage: "share of model requests that are chats"},
			&cli.FloatFlag{Name: "whole-share", Value: 0.1, Usage: "share of model requests that are not streamed"},
			&cli.StringFlag{Name: "service", Usage: "plain service to send bookings and reads to"},
			&cli.StringFlag{Name: "service-profile", Usage: "profile of requests to the plain service"},
			&cli.FloatFlag{Name: "service-share", Value: 0.2, Usage: "share of requests to the plain service"},
			&cli.FloatFlag{Name: "duplicate-share", Value: 0.2, Usage: "share of bookings sent at two gateways"},
			&cli.DurationFlag{Name: "budget", Usage: "time budget to ask for (default the profile's)"},
			&cli.DurationFlag{Name: "timeout", Usage: "end of an attempt on the tool's side (default 10m)"},
			&cli.IntFlag{Name: "max-repeats", Value: 3, Usage: "repeats after a refusal with Retry-After, -1 for none"},
			&cli.IntFlag{Name: "max-in-flight", Value: 1000, Usage: "concurrent requests up to 100 k tokens"},
			&cli.IntFlag{Name: "max-long-in-flight", Value: 16, Usage: "concurrent requests over 100 k tokens"},
			&cli.StringSliceFlag{Name: "standin-stats", Usage: "stand-ins whose executions are compared with the answers"},
			&cli.StringFlag{Name: "out", Usage: "directory for the JSON result, histograms and plot"},
		},
		Action:   runLoad,
		Commands: []*cli.Command{compareCommand()},
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	result, err := loadgen.Run(ctx, loadOptions(cmd))
	if err != nil {
		return err
	}
	if err := result.WriteTable(cmd.Root().Writer); err != nil {
		return err
	}
	if directory := cmd.String("out"); directory != "" {
		if err := result.WriteFiles(directory); err != nil {
			return err
		}
	}
	if result.Interrupted {
		return errors.Join(errors.New("the run was interrupted"), result.Err())
	}
	return result.Err()
}

func loadOptions(cmd *cli.Command) loadgen.Options {
	options := loadgen.Options{
		Gateways:        cmd.StringSlice("gateways"),
		Requests:        cmd.Int("requests"),
		Rate:            cmd.Float("rate"),
		Seed:            cmd.Uint64("seed"),
		Classes:         loadgen.DefaultClasses(cmd.Float("long-share")),
		TeamHeader:      cmd.String("team-header"),
		Profiles:        cmd.StringSlice("profile"),
		MinOutputTokens: cmd.Int("min-output-tokens"),
		MaxOutputTokens: cmd.Int("max-output-tokens"),
		ChatShare:       cmd.Float("chat-share"),
		WholeShare:      cmd.Float("whole-share"),
		Service:         cmd.String("service"),
		ServiceProfile:  cmd.String("service-profile"),
		ServiceShare:    cmd.Float("service-share"),
		DuplicateShare:  cmd.Float("duplicate-share"),
		Budget:          cmd.Duration("budget"),
		Timeout:         cmd.Duration("timeout"),
		MaxRetries:      cmd.Int("max-repeats"),
		MaxInFlight:     cmd.Int("max-in-flight"),
		MaxLongInFlight: cmd.Int("max-long-in-flight"),
		Stats:           cmd.StringSlice("standin-stats"),
	}
	if names := cmd.StringSlice("teams"); len(names) > 0 {
		options.Teams = loadgen.WeightedTeams(names)
	}
	return options
}

// compareCommand returns "acaciactl load compare".
func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compare the results of runs; name the repeated runs of one side in one argument, separated by commas",
		ArgsUsage: "A.json[,A2.json...] B.json[,B2.json...]",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.New("two arguments are needed: the results before and after")
			}
			before, err := loadgen.ReadResults(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			after, err := loadgen.ReadResults(cmd.Args().Get(1))
			if err != nil {
				return err
			}
			return loadgen.Compare(before, after).WriteTable(cmd.Root().Writer)
		},
	}
}
