// Command acacia-controller runs the control state of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/acacialift/acacialift/internal/controller"
	"github.com/acacialift/acacialift/internal/daemon"
	"github.com/acacialift/acacialift/internal/settings"
)

const (
	// threads is the number of threads that run Go code. The control work is many small messages; with one thread for
	// each core of a large machine a third of the processor time went into waking threads that found nothing to do. The
	// second thread keeps messages moving while a document is parsed.
	threads = 2
	// memoryTarget makes the collector run more often as the heap grows towards it, so that parsing a large document does
	// not leave a heap of twice the live data behind.
	memoryTarget = 24 << 20
)

func main() {
	limitRuntime()
	command := &cli.Command{
		Name:  "acacia-controller",
		Usage: "configuration, membership, leases, credits, operators' API",
		Description: "SIGTERM or SIGINT starts a planned stop: the leases are given up once the instance's gateway is\n" +
			"done. A second signal ends it at once.\n\n" +
			"Example: acacia-controller --settings controller.yaml",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in YAML", Required: true}},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// limitRuntime applies the limits of the control cost, unless the environment sets others.
func limitRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(threads)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryTarget)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	s, err := settings.LoadController(command.String("settings"))
	if err != nil {
		return err
	}
	log, err := daemon.NewLogger(&s.Common, "controller")
	if err != nil {
		return err
	}
	c, err := controller.New(s, log)
	if err != nil {
		return err
	}
	return daemon.Run(ctx, c)
}
