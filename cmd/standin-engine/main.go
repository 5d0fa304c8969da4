// Command standin-engine runs fake model engines for tests and for the examples in the README.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin-engine:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-engine",
		Usage: "run fake model engines on consecutive ports",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:21100", Usage: "address of the first engine"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number of engines"},
			&cli.FloatFlag{Name: "prefill-rate", Value: 100_000, Usage: "prefill rate in tokens per second, 0 takes no time"},
			&cli.DurationFlag{Name: "token-interval", Value: 20 * time.Millisecond, Usage: "time between two tokens of a stream"},
			&cli.Int64Flag{Name: "memory-tokens", Value: 500_000, Usage: "KV memory in tokens"},
			&cli.IntFlag{Name: "warmup-requests", Usage: "number of completed requests that end a cold start, 0 starts warm"},
			&cli.IntFlag{Name: "cold-streams", Value: 2, Usage: "streams above which a cold engine fails, 0 means no limit"},
			&cli.Int64Flag{Name: "cold-tokens", Value: 50_000, Usage: "tokens above which a cold engine fails, 0 means no limit"},
			&cli.DurationFlag{Name: "fall-downtime", Value: 2 * time.Second, Usage: "time for which a failed engine is down"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of the load report"},
			&cli.BoolFlag{Name: "leak", Usage: "keep the memory of streams whose connection was closed"},
			&cli.StringFlag{Name: "fencing", Value: string(config.FencingEnforced), Usage: "enforced or ignored"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	fencing := config.Fencing(cmd.String("fencing"))
	if fencing != config.FencingEnforced && fencing != config.FencingIgnored {
		return fmt.Errorf("--fencing is %q; valid values are enforced and ignored", fencing)
	}
	addresses, err := standin.ConsecutiveAddresses(cmd.String("listen"), cmd.Int("count"))
	if err != nil {
		return err
	}
	engines := make([]*standin.Engine, 0, len(addresses))
	for _, address := range addresses {
		engine, err := standin.NewEngine(standin.EngineOptions{
			Address:        address,
			PrefillRate:    cmd.Float("prefill-rate"),
			TokenInterval:  cmd.Duration("token-interval"),
			MemoryTokens:   cmd.Int64("memory-tokens"),
			WarmupRequests: cmd.Int("warmup-requests"),
			ColdStreams:    cmd.Int("cold-streams"),
			ColdTokens:     cmd.Int64("cold-tokens"),
			CrashDowntime:  cmd.Duration("fall-downtime"),
			ReportLag:      cmd.Duration("report-lag"),
			Leak:           cmd.Bool("leak"),
			Fencing:        fencing,
		})
		if err != nil {
			return err
		}
		engines = append(engines, engine)
	}
	return standin.ServeAll(ctx, engines)
}
