package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/acacialift/acacialift/internal/clock"
)

const (
	// maxReadyCatalogAgeFraction is the greatest time since the last confirmation of the catalog at which an instance is
	// ready, as a fraction of the revocation time.
	maxReadyCatalogAgeFraction = 0.6
	// shutdownAcceptTime is how long an instance that is shutting down continues to accept connections. Within this time,
	// the platform's readiness probe fails and the platform stops sending callers to this instance.
	shutdownAcceptTime = 3 * time.Second
	// shutdownMargin is the time between the abort of the remaining requests and the end of the grace period, at which the
	// process is killed (Bounds.StopGrace after the termination signal).
	shutdownMargin = 400 * time.Millisecond
)

// serveReady responds to readiness probes with 200 if the instance is ready, otherwise with 503.
func (p *Process) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != p.options.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !p.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether this instance can serve callers: it is not shutting down, it knows endpoints, and its catalog was
// confirmed recently enough.
func (p *Process) isReady() bool {
	select {
	case <-p.stopping:
		return false
	default:
	}
	snapshot := p.options.State.Snapshot()
	if snapshot.Catalog == nil || len(snapshot.Endpoints) == 0 {
		return false
	}
	maxAge := time.Duration(maxReadyCatalogAgeFraction * float64(p.options.Settings.Bounds.RevocationTime))
	return clock.Boot()-p.options.State.Confirmed().At <= maxAge
}

// StartDrain implements daemon.Process. It begins the graceful shutdown, which awaitShutdown completes.
func (p *Process) StartDrain(reason string) {
	p.shutdownOnce.Do(func() {
		p.log.Info().Str("reason", reason).Msg("stopping")
		p.sharer.StartLeaving()
		p.handler.StartShutdown(p.options.Settings.Bounds.StopGrace.Std() - shutdownMargin)
		close(p.stopping)
	})
}

// Reload implements daemon.Reloader. It adds new seeds; other settings take effect after a restart only.
func (p *Process) Reload() {
	s, err := p.options.LoadSettings()
	if err != nil {
		p.log.Error().Err(err).Msg("settings_rejected")
		return
	}
	p.sharer.AddSeeds(s.Seeds)
	p.log.Info().Strs("seeds", s.Seeds).Msg("settings_reloaded")
}

// Drained implements daemon.Process.
func (p *Process) Drained() <-chan struct{} { return p.drained }

// awaitShutdown waits for the start of a graceful shutdown and completes the shutdown: connections are accepted for
// shutdownAcceptTime, then the remaining requests may run until shutdownMargin before the end of the grace period.
func (p *Process) awaitShutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-p.stopping:
	}
	grace := p.options.Settings.Bounds.StopGrace.Std() - shutdownMargin
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(min(shutdownAcceptTime, grace)):
	}
	if err := p.callerServer.Drain(ctx); err != nil {
		p.log.Warn().Int("connections", p.callerServer.Connections()).Err(err).Msg("stop_cut_requests")
	}
	close(p.drained)
	return suture.ErrDoNotRestart
}
