// Command acacia-entry serves callers on an entry instance of the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/daemon"
	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/logging"
	"github.com/acacialift/acacialift/internal/settings"
	"github.com/acacialift/acacialift/platform"
)

// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the memory limit in the settings. The garbage
// collector runs more often when the heap approaches the soft limit.
const memoryLimitFraction = 0.7

func main() {
	command := &cli.Command{
		Name:  "acacia-entry",
		Usage: "serve callers on the users' platform: admission, placement, streaming",
		Description: "SIGTERM or SIGINT starts a graceful shutdown: the instance reports that it is not ready, completes the\n" +
			"requests it has accepted, and exits within the stop grace of its settings. A second signal ends it\n" +
			"immediately. SIGHUP reloads the settings file.\n\n" +
			"Example: acacia-entry --settings entry.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in YAML", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings file and exit"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	s, err := settings.LoadEntry(command.String("settings"))
	if err != nil || command.Bool("check") {
		return err
	}
	output := logging.NewQueue(os.Stdout)
	defer output.Close()
	log, err := daemon.NewLoggerTo(output, &s.Common, "entry")
	if err != nil {
		return err
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * s.Limits.MemoryMB * (1 << 20)))
	}
	state := fleet.NewState()
	p, err := entry.New(entry.Options{
		Settings: s,
		Protocol: platform.Protocol{},
		Source: platform.NewSource(platform.SourceOptions{
			Address: s.Platform, State: state, Log: log, AwaitPeers: !slices.Contains(s.Seeds, s.Addresses.Peers),
		}),
		State:     state,
		ReadyPath: platform.ReadyPath,
		LoadSettings: func() (*settings.Entry, error) {
			return settings.LoadEntry(command.String("settings"))
		},
		Log: log,
	})
	if err != nil {
		return err
	}
	return daemon.Run(ctx, p)
}
