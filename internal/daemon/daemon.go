// Package daemon runs the processes of an entry instance: logger, supervisor tree and planned stop.
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
	// StartDrain begins a planned stop.
	StartDrain(reason string)
	// Drained is closed when a planned stop may end the process.
	Drained() <-chan struct{}
}

// Reloader is a process that reads its settings again on SIGHUP. Other processes ignore the signal.
type Reloader interface {
	Reload()
}

// NewLogger returns the logger of a process, which writes to standard error, and sends nbio's log to it.
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

// Run serves until a planned stop has ended. The first SIGTERM or SIGINT starts a planned stop, the second ends the
// process at once.
func Run(ctx context.Context, process Process) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go reloadOn(ctx, reloads, process)
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

// reloadOn passes signals on to a process that reads its settings again.
func reloadOn(ctx context.Context, signals <-chan os.Signal, process Process) {
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
