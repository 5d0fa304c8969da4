// Package controller runs the control state of one instance: configuration, membership, leases, the accounts of owned
// endpoints, idempotency keys and the operators' API.
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
	// heartbeatNow asks for a round of heartbeats at once, so that peers learn a new revision without delay.
	heartbeatNow chan struct{}
	// leasesNow asks for a round of claims at once.
	leasesNow chan struct{}
	// drained is closed when a planned stop may end the process.
	drained   chan struct{}
	drainOnce sync.Once

	// mu guards the fields below, which are pure state.
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
	fetches   map[peer.Subject]fetch
	gateway   gatewayContact
}

// gatewayContact is the last message of the instance's gateway.
type gatewayContact struct {
	at          time.Time
	incarnation int64
	stats       peer.GatewayStats
}

// New returns a controller that listens at once; Serve runs it.
func New(s *settings.Controller, log zerolog.Logger) (*Controller, error) {
	started := time.Now()
	incarnation := started.UnixMilli()
	c := &Controller{
		settings:     s,
		log:          log,
		engines:      engine.NewClient(),
		metrics:      metrics.NewRegistry(),
		incarnation:  incarnation,
		started:      started,
		heartbeatNow: make(chan struct{}, 1),
		leasesNow:    make(chan struct{}, 1),
		drained:      make(chan struct{}),
		table:        member.New(s.Instance, incarnation),
		voter:        lease.NewVoter(s.Instance),
		holder:       lease.NewHolder(s.Instance, incarnation),
		accounts:     make(map[string]*ownedAccount),
		keys:         idem.NewRegistry(idem.Options{MaxKeys: maxKeys}),
		board:        newBoard(incarnation),
		summaries:    newSummaries(),
		fetches:      make(map[peer.Subject]fetch),
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

// every calls f at once and then at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
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

// adopt puts newly accepted documents in force.
func (c *Controller) adopt(index *config.Index, list *config.InstanceList) {
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
		// The owners' addresses may have changed.
		c.board.restart()
		c.table.SetInstances(now, list.Instances)
	}
	if c.index == nil || c.list == nil {
		return
	}
	c.voter.SetView(now, now.UnixMilli(), c.index, c.list)
	c.holder.SetView(now, c.index, c.list)
	c.applyLimits()
	c.kickLeases()
}
