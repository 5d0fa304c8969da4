package gateway

import (
	"context"
	"time"
)

const (
	drainCheckInterval = 100 * time.Millisecond
	// lastResponseTimeout is longer than the server waits for a caller to close the connection after its last response.
	lastResponseTimeout = 10 * time.Second
)

// StartDrain starts a graceful shutdown. The listener stays open: new requests are served until the load balancer's lag
// has passed, and refused after that. Drained is closed when the last request has ended.
func (g *Gateway) StartDrain(reason string) {
	if !g.draining.CompareAndSwap(false, true) {
		return
	}
	g.log.Info().Str("reason", reason).Msg("drain_started")
	go g.drain()
}

func (g *Gateway) drain() {
	time.Sleep(g.settings.BalancerLag.Std())
	g.refusing.Store(true)
	g.log.Info().Int64("open", g.stats.openRequests.Load()).Msg("drain_refusing")
	for g.stats.openRequests.Load() > 0 {
		time.Sleep(drainCheckInterval)
	}
	g.closeCallerConnections()
	g.log.Info().Msg("drain_complete")
	close(g.drained)
}

// closeCallerConnections waits until the last responses are sent, because the server sends the end of a response after
// its handler has returned.
func (g *Gateway) closeCallerConnections() {
	ctx, cancel := context.WithTimeout(context.Background(), lastResponseTimeout)
	defer cancel()
	if err := g.server.Drain(ctx); err != nil {
		g.log.Warn().Int("connections", g.server.Connections()).Msg("drain_connections_left")
	}
}

// Drained returns a channel that is closed when the graceful shutdown is complete and the process may exit.
func (g *Gateway) Drained() <-chan struct{} { return g.drained }
