package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/lab"
	"github.com/acacialift/acacialift/internal/lease"
)

const (
	// baseDaemons is the number of daemons in the fleets that determine the cost per endpoint.
	baseDaemons = 16
	// targetDaemons and targetEndpoints are the fleet size for which docs/CAPACITY.md derives the cost.
	targetDaemons   = 340
	targetEndpoints = 600
	// targetSlots is the number of key slots of two plain services.
	targetSlots = 2 * lease.KeySlots
)

// controlCommand returns "acacia-lab control".
func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure the control cost per daemon at several fleet sizes",
		Description: "Starts each fleet on loopback, waits until all members are alive, and measures it idle, under a light\n" +
			"load and while configuration revisions are published.\n\n" +
			"Example: acacia-lab control --bin bin --out control.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the binaries"},
			&cli.StringSliceFlag{
				Name: "size", Usage: "fleet sizes as DAEMONS/ENDPOINTS[/TEAMS]",
				Value: []string{"4/20", "8/20", "16/20", "32/20", "64/20", "16/100", "16/300", "16/600", "64/300", "64/600"},
			},
			&cli.DurationFlag{Name: "window", Value: 20 * time.Second, Usage: "length of each measurement"},
			&cli.DurationFlag{Name: "settle", Value: 5 * time.Second, Usage: "delay before the first measurement"},
			&cli.FloatFlag{Name: "rate", Value: 2, Usage: "requests per second and daemon under load, 0 omits the phase"},
			&cli.IntFlag{Name: "tokens", Value: 8, Usage: "number of tokens in each response"},
			&cli.DurationFlag{Name: "token-interval", Value: 5 * time.Millisecond, Usage: "time between two tokens of a response"},
			&cli.IntFlag{Name: "changes", Usage: "configuration revisions to publish in a third phase, 0 omits the phase"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the result as JSON"},
		},
		Action: runControl,
	}
}

func runControl(ctx context.Context, cmd *cli.Command) error {
	options := lab.ControlOptions{
		Binaries: cmd.String("bin"), Window: cmd.Duration("window"), Settle: cmd.Duration("settle"),
		Rate: cmd.Float("rate"), Changes: cmd.Int("changes"),
		OutputTokens: cmd.Int("tokens"), TokenInterval: cmd.Duration("token-interval"),
		Progress: cmd.Root().ErrWriter,
	}
	for _, text := range cmd.StringSlice("size") {
		size, err := parseSize(text)
		if err != nil {
			return err
		}
		options.Sizes = append(options.Sizes, size)
	}
	samples, err := lab.MeasureControl(ctx, options)
	report := lab.NewControlReport(samples, baseDaemons)
	target := lab.ControlSize{Daemons: targetDaemons, Endpoints: targetEndpoints}
	err = errors.Join(err, report.WriteTable(cmd.Root().Writer, target, targetSlots))
	if path := cmd.String("out"); path != "" {
		err = errors.Join(err, report.WriteFile(path))
	}
	return err
}

const (
	defaultTeams = 10
	minEndpoints = 4
	// maxDaemons keeps a fleet below 200 processes, with two processes per daemon and the stand-ins.
	maxDaemons = 90
)

func parseSize(text string) (lab.ControlSize, error) {
	values := []int{0, 0, defaultTeams}
	parts := strings.Split(text, "/")
	if len(parts) < 2 || len(parts) > len(values) {
		return lab.ControlSize{}, fmt.Errorf("size %q is not of the form DAEMONS/ENDPOINTS[/TEAMS]", text)
	}
	for i, part := range parts {
		value, err := strconv.Atoi(part)
		if err != nil || value < 1 {
			return lab.ControlSize{}, fmt.Errorf("size %q: %q is not a positive integer", text, part)
		}
		values[i] = value
	}
	size := lab.ControlSize{Daemons: values[0], Endpoints: values[1], Teams: values[2]}
	if size.Daemons > maxDaemons || size.Endpoints < minEndpoints {
		return lab.ControlSize{}, fmt.Errorf("size %q: only sizes of at most %d daemons and at least %d endpoints are allowed",
			text, maxDaemons, minEndpoints)
	}
	return size, nil
}
