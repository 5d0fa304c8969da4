// Package daemon runs the processes of an entry instance. It provides their logger, supervisor and graceful shutdown.
package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/logging"
	"github.com/acacialift/acacialift/internal/settings"
)

// Process is a gateway or a controller.
type Process interface {
	// Serve runs the process's supervisor tree until the context ends.
	Serve(ctx context.Context) error
	// StartDrain starts a graceful shutdown.
	StartDrain(reason string)
	// Drained is closed when the graceful shutdown is complete and the process may exit.
	Drained() <-chan struct{}
}

// Reloader is a process that reloads its settings on SIGHUP. Other processes ignore the signal.
type Reloader interface {
	Reload()
}

// NewLogger returns the logger of a process, which writes to standard error. The log of nbio is redirected to it.
func NewLogger(s *settings.Common, role string) (zerolog.Logger, error) {
	return NewLoggerTo(os.Stderr, s, role)
}

// NewLoggerTo is NewLogger for another writer.
func NewLoggerTo(w io.Writer, s *settings.Common, role string) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.Logger{}, err
	}
	log := logging.New(w, level, s.Instance, role)
	logging.RouteNbio(log)
	return log, nil
}

// Run serves until a graceful shutdown is complete. The first SIGTERM or SIGINT starts it; the second one ends the process
// immediately.
func Run(ctx context.Context, process Process) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go reloadOnSignal(ctx, reloads, process)
	go func() {
		defer cancel()
		select {
		case <-signals:
			process.StartDrain("signal")
		case <-process.Drained():
			return
		}
		select {
		case <-signals:
		case <-process.Drained():
		}
	}()
	if err := process.Serve(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// reloadOnSignal calls Reload for each signal if the process is a Reloader.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, process Process) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			if reloader, ok := process.(Reloader); ok {
				reloader.Reload()
			}
		}
	}
}
