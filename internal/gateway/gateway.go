// Package gateway serves callers: it admits a request, reserves capacity with the owner of an endpoint, dispatches the
// request to the endpoint, and forwards the response.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/daemon"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/route"
	"github.com/acacialift/acacialift/internal/settings"
)

// Gateway is one gateway process.
type Gateway struct {
	settings *settings.Gateway
	log      zerolog.Logger
	node     *peer.Node
	server   *httpserver.Server
	engines  *engine.Client
	views    *views
	credits  *creditClient
	router   *router
	// groups is a semaphore that bounds the group prompts served at the same time.
	groups      chan struct{}
	stats       *stats
	incarnation int64
	sequence    atomic.Uint64

	// draining is true from the start of a graceful shutdown, refusing from the time at which new requests are refused.
	draining atomic.Bool
	refusing atomic.Bool
	drained  chan struct{}

	// unresponsiveAfter is the constant of the same name unless a test shortens it.
	unresponsiveAfter time.Duration

	randMu sync.Mutex
	rand   *rand.Rand
}

// New returns a gateway whose listener is already open. Serve runs it.
func New(s *settings.Gateway, log zerolog.Logger) (*Gateway, error) {
	incarnation := time.Now().UnixMilli()
	node, err := peer.NewNode(peer.Options{Self: peer.Hello{
		Key: s.Keys.Peers.Reveal(), Name: s.Instance, Incarnation: incarnation, Role: peer.RoleGateway,
	}})
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		settings:          s,
		log:               log,
		node:              node,
		engines:           engine.NewClient(),
		groups:            make(chan struct{}, maxGroups),
		stats:             newStats(),
		incarnation:       incarnation,
		drained:           make(chan struct{}),
		unresponsiveAfter: unresponsiveAfter,
		rand:              newRand(incarnation),
	}
	g.views = newViews(node, s.Addresses.Controller, incarnation, g.stats, log)
	g.views.onDraining = func() { g.StartDrain("instance_leaving") }
	g.credits = newCreditClient(node, g.views, s.Instance, incarnation)
	policy := newPolicy(s.Policy, newRand(incarnation), g.credits.streamCount)
	g.router = &router{policy: policy, prefixes: route.NewPrefixes()}
	g.server, err = httpserver.New(httpserver.Options{
		Address:          s.Addresses.Callers,
		Handler:          http.HandlerFunc(g.serveHTTP),
		MaxHeaderBytes:   int(s.Limits.MaxHeaderBytes),
		MaxBodyBytes:     int(s.Limits.MaxBodyBytes),
		MaxBufferedBytes: s.Limits.MaxBufferedBytes,
		OnRefusal:        g.recordRefusal,
		OnPanic: func(value any, stack []byte) {
			g.log.Error().Interface("value", value).Bytes("stack", stack).Msg("handler_panic")
		},
	})
	if err != nil {
		node.Close()
		return nil, err
	}
	return g, nil
}

// Serve runs the gateway's supervisor tree until the context is done.
func (g *Gateway) Serve(ctx context.Context) error {
	defer g.node.Close()
	tree := daemon.NewTree("gateway", g.log)
	tree.Add(g.views)
	tree.Add(g.credits)
	tree.Add(daemon.Service{Name: "callers", Run: g.server.Serve})
	g.log.Info().Str("address", g.server.Address()).Msg("gateway_started")
	return tree.Serve(ctx)
}

func (g *Gateway) nextRequestID() peer.RequestID {
	return peer.RequestID{Gateway: g.settings.Instance, Incarnation: g.incarnation, Sequence: g.sequence.Add(1)}
}

// partName returns the part of the ID of a request that distinguishes its n-th credit request.
func partName(n int) string { return strconv.Itoa(n) }

// jitter returns a random duration between half of d and d.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	g.randMu.Lock()
	defer g.randMu.Unlock()
	return d/2 + time.Duration(g.rand.Int64N(int64(d/2)+1))
}

// newRand returns a source whose seed differs between gateways, because equal seeds would make them choose the same
// endpoints.
func newRand(incarnation int64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(incarnation), uint64(time.Now().UnixNano())))
}
