package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/loadgen"
)

// loadCommand returns "acaciactl load", which fails if any response violates a guarantee to its caller.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a fixed rate, check every response and measure latencies",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "gateways", Usage: "IP:port addresses of gateways, used in turn"},
			&cli.IntFlag{Name: "requests", Value: 1000, Usage: "number of requests"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "mean number of requests per second"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the request plan"},
			&cli.FloatFlag{Name: "long-share", Value: 0.02, Usage: "fraction of prompts over 100 k tokens"},
			&cli.StringFlag{Name: "team-header", Value: "X-Acacia-Team", Usage: "header that names the team"},
			&cli.StringSliceFlag{Name: "teams", Usage: "team names, the first three send more (default team-01 to team-10)"},
			&cli.StringSliceFlag{Name: "profile", Usage: "model profiles, chosen with equal probability"},
			&cli.IntFlag{Name: "min-output-tokens", Value: 8, Usage: "minimum output length in tokens"},
			&cli.IntFlag{Name: "max-output-tokens", Value: 64, Usage: "maximum output length in tokens"},
			&cli.FloatFlag{Name: "chat-share", Value: 0.2, Usage: "fraction of model requests that are chats"},
			&cli.FloatFlag{Name: "whole-share", Value: 0.1, Usage: "fraction of model requests that are not streamed"},
			&cli.StringFlag{Name: "service", Usage: "plain service that receives bookings (writes with a key) and reads"},
			&cli.StringFlag{Name: "service-profile", Usage: "profile of requests to the plain service"},
			&cli.FloatFlag{Name: "service-share", Value: 0.2, Usage: "fraction of requests to the plain service"},
			&cli.FloatFlag{Name: "duplicate-share", Value: 0.2, Usage: "fraction of bookings sent to two gateways"},
			&cli.DurationFlag{Name: "budget", Usage: "time budget of each request (default the profile's)"},
			&cli.DurationFlag{Name: "timeout", Usage: "client-side timeout of an attempt (default 10m)"},
			&cli.IntFlag{Name: "max-repeats", Value: 3, Usage: "maximum retries after a refusal with Retry-After, -1 for none"},
			&cli.IntFlag{Name: "max-in-flight", Value: 1000, Usage: "maximum concurrent requests up to 100 k tokens"},
			&cli.IntFlag{Name: "max-long-in-flight", Value: 16, Usage: "maximum concurrent requests over 100 k tokens"},
			&cli.StringSliceFlag{Name: "standin-stats", Usage: "stand-ins whose executions are compared with the responses"},
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
		Gateways:         cmd.StringSlice("gateways"),
		Requests:         cmd.Int("requests"),
		Rate:             cmd.Float("rate"),
		Seed:             cmd.Uint64("seed"),
		Classes:          loadgen.DefaultClasses(cmd.Float("long-share")),
		TeamHeader:       cmd.String("team-header"),
		Profiles:         cmd.StringSlice("profile"),
		MinOutputTokens:  cmd.Int("min-output-tokens"),
		MaxOutputTokens:  cmd.Int("max-output-tokens"),
		ChatShare:        cmd.Float("chat-share"),
		NonStreamedShare: cmd.Float("whole-share"),
		Service:          cmd.String("service"),
		ServiceProfile:   cmd.String("service-profile"),
		ServiceShare:     cmd.Float("service-share"),
		DuplicateShare:   cmd.Float("duplicate-share"),
		Budget:           cmd.Duration("budget"),
		Timeout:          cmd.Duration("timeout"),
		MaxRetries:       cmd.Int("max-repeats"),
		MaxInFlight:      cmd.Int("max-in-flight"),
		MaxLongInFlight:  cmd.Int("max-long-in-flight"),
		Stats:            cmd.StringSlice("standin-stats"),
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
		Usage:     "compare the results of runs; give repeated runs of one side as one argument, separated by commas",
		ArgsUsage: "A.json[,A2.json...] B.json[,B2.json...]",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.New("two arguments are required: the results before and after")
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
