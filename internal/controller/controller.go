// Package controller implements the control plane of one instance: configuration, membership, leases, the credit accounts
// of owned endpoints, idempotency keys and the operators' API.
package controller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/daemon"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/idem"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/member"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/settings"
)

// Controller is one controller process.
type Controller struct {
	settings    *settings.Controller
	log         zerolog.Logger
	node        *peer.Node
	engines     *engine.Client
	operators   *httpserver.Server
	metrics     metrics.Registry
	incarnation int64
	started     time.Time
	documents   *documents
	// heartbeatTrigger starts a round of heartbeats at once, to announce a new revision to the peers without delay.
	heartbeatTrigger chan struct{}
	// leaseTrigger starts a round of claims at once.
	leaseTrigger chan struct{}
	// drained is closed when the process may exit in a graceful shutdown.
	drained   chan struct{}
	drainOnce sync.Once

	// mu guards the fields below. They hold state only and do no I/O.
	mu        sync.Mutex
	index     *config.Index
	weights   map[string]int
	list      *config.InstanceList
	table     *member.Table
	voter     *lease.Voter
	holder    *lease.Holder
	ownership ownership
	accounts  map[string]*ownedAccount
	keys      *idem.Registry
	board     *board
	summaries *summaries
	fetches   map[peer.Subject]peerFetch
	gateway   gatewayContact
}

// gatewayContact is the last view request of the instance's gateway.
type gatewayContact struct {
	receivedAt  time.Time
	incarnation int64
	stats       peer.GatewayStats
}

// New returns a controller whose ports are already open; Serve runs it.
func New(s *settings.Controller, log zerolog.Logger) (*Controller, error) {
	started := time.Now()
	incarnation := started.UnixMilli()
	c := &Controller{
		settings:         s,
		log:              log,
		engines:          engine.NewClient(),
		metrics:          metrics.NewRegistry(),
		incarnation:      incarnation,
		started:          started,
		heartbeatTrigger: make(chan struct{}, 1),
		leaseTrigger:     make(chan struct{}, 1),
		drained:          make(chan struct{}),
		table:            member.New(s.Instance, incarnation),
		voter:            lease.NewVoter(s.Instance),
		holder:           lease.NewHolder(s.Instance, incarnation),
		accounts:         make(map[string]*ownedAccount),
		keys:             idem.NewRegistry(idem.Options{MaxKeys: maxKeys}),
		board:            newBoard(incarnation),
		summaries:        newSummaries(),
		fetches:          make(map[peer.Subject]peerFetch),
	}
	c.documents = newDocuments(c)
	var err error
	c.node, err = peer.NewNode(peer.Options{
		Listen: s.Addresses.Peers,
		Self: peer.Hello{
			Key: s.Keys.Peers.Reveal(), Name: s.Instance, Incarnation: incarnation, Role: peer.RoleController,
		},
		Handler: c,
		Events:  c,
	})
	if err != nil {
		return nil, err
	}
	c.operators, err = httpserver.New(httpserver.Options{
		Address: s.Addresses.Operators, Handler: http.HandlerFunc(c.serveOperators),
	})
	if err != nil {
		c.node.Close()
		return nil, err
	}
	return c, nil
}

// Serve runs the controller's supervisor tree until the context ends.
func (c *Controller) Serve(ctx context.Context) error {
	defer c.node.Close()
	tree := daemon.NewTree("controller", c.log)
	tree.Add(daemon.Service{Name: "documents", Run: c.documents.serve})
	tree.Add(daemon.Service{Name: "heartbeats", Run: c.serveHeartbeats})
	tree.Add(daemon.Service{Name: "leases", Run: c.serveLeases})
	tree.Add(daemon.Service{Name: "engine-reports", Run: c.serveEngineReports})
	tree.Add(daemon.Service{Name: "summaries", Run: c.serveSummaries})
	tree.Add(daemon.Service{Name: "operators", Run: c.operators.Serve})
	c.log.Info().Str("peers", c.settings.Addresses.Peers).Str("operators", c.operators.Address()).
		Int64("incarnation", c.incarnation).Msg("controller_started")
	return tree.Serve(ctx)
}

// runEvery calls f immediately and then at each interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Refused implements peer.Events.
func (c *Controller) Refused(remote, reason string) {
	c.log.Warn().Str("remote", remote).Str("reason", reason).Msg("peer_refused")
	c.count("peer.refused")
}

func (c *Controller) count(name string) {
	metrics.GetOrRegisterCounter(name, c.metrics).Inc(1)
}

// applyDocuments applies newly accepted documents to the state of the controller.
func (c *Controller) applyDocuments(index *config.Index, list *config.InstanceList) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if index != nil && index != c.index {
		c.index = index
		c.weights = credit.WeightsOf(index.Document.Teams)
		c.board.prune(index)
	}
	if list != nil && list != c.list {
		c.list = list
		// The instances' addresses in the gateway's view may have changed.
		c.board.restart()
		c.table.SetInstances(now, list.Instances)
	}
	if c.index == nil || c.list == nil {
		return
	}
	c.voter.SetView(now, now.UnixMilli(), c.index, c.list)
	c.holder.SetView(now, c.index, c.list)
	c.applyLimits()
	c.triggerLeaseRound()
}
