// Command acacia-controller runs the control plane of an entry instance.
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
	// maxProcs is the number of threads that run Go code. The controller handles many small messages. With one thread for
	// each core of a large machine, the Go scheduler spent a third of the CPU time on waking idle threads. The second thread
	// handles messages while the first one parses a document.
	maxProcs = 2
	// memoryLimitBytes is the soft memory limit of the Go runtime. The garbage collector runs more often when the heap
	// approaches it. Without the limit, the heap is twice the live data after a large document was parsed.
	memoryLimitBytes = 24 << 20
)

func main() {
	limitRuntime()
	command := &cli.Command{
		Name:  "acacia-controller",
		Usage: "run the control plane: configuration, membership, leases, credits, operators' API",
		Description: "SIGTERM or SIGINT starts a graceful shutdown: the leases are released when the instance's gateway has\n" +
			"completed its requests. A second signal ends the process immediately.\n\n" +
			"Example: acacia-controller --settings controller.yaml",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in YAML", Required: true}},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// limitRuntime limits threads and memory unless GOMAXPROCS or GOMEMLIMIT is set.
func limitRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(maxProcs)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
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
