package gateway

import (
	"context"
	"time"
)

const (
	drainTick = 100 * time.Millisecond
	// lastAnswerLimit is more than the time for which the server waits for a caller to close after its last answer.
	lastAnswerLimit = 10 * time.Second
)

// StartDrain begins a planned stop: the listener stays open until the balancer's lag has passed, new requests are
// refused after that, and Drained is closed when the last request has ended.
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
	g.log.Info().Int64("open", g.stats.open.Load()).Msg("drain_refusing")
	for g.stats.open.Load() > 0 {
		time.Sleep(drainTick)
	}
	g.closeCallers()
	g.log.Info().Msg("drain_complete")
	close(g.drained)
}

// closeCallers waits until the last answers have left: the server sends the end of an answer after its handler returned.
func (g *Gateway) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswerLimit)
	defer cancel()
	if err := g.server.Drain(ctx); err != nil {
		g.log.Warn().Int("connections", g.server.Connections()).Msg("drain_connections_left")
	}
}

// Drained is closed when a planned stop may end the process.
func (g *Gateway) Drained() <-chan struct{} { return g.drained }
