package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	viewInterval = 200 * time.Millisecond
	viewTimeout  = time.Second
	// maxViewAge is the time after which a gateway that does not reach its controller refuses requests. Credits bound
	// the work in any case; the limit keeps a gateway from serving long with an old configuration.
	maxViewAge = 3 * time.Second
)

// view is an immutable picture of what the gateway knows.
type view struct {
	version  uint64
	index    *config.Index
	owners   map[string]peer.OwnerView
	summary  map[string]peer.EndpointSummary
	draining bool
	received time.Time
}

// direct is an endpoint's load that its owner sent with a reply.
type direct struct {
	peer.EndpointSummary
	received time.Time
}

// fresh tells whether the controller confirmed the view recently.
func (v *view) fresh(now time.Time) bool { return now.Sub(v.received) <= maxViewAge }

// views asks the instance's controller for the current view.
type views struct {
	node        *peer.Node
	controller  string
	incarnation int64
	stats       *stats
	log         zerolog.Logger
	// onDraining is called when the controller says that the instance leaves.
	onDraining func()
	current    atomic.Pointer[view]

	// mu guards direct, which holds the latest reply of each endpoint's owner.
	mu     sync.Mutex
	direct map[string]direct
}

func newViews(node *peer.Node, controller string, incarnation int64, s *stats, log zerolog.Logger) *views {
	return &views{
		node: node, controller: controller, incarnation: incarnation, stats: s, log: log, direct: make(map[string]direct),
	}
}

// String implements fmt.Stringer.
func (v *views) String() string { return "views" }

// Serve polls the controller until the context ends.
func (v *views) Serve(ctx context.Context) error {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	reachable := true
	for {
		err := v.poll(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if (err == nil) != reachable {
			reachable = err == nil
			v.log.Warn().Bool("reachable", reachable).AnErr("error", err).Msg("controller_connection")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (v *views) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	ask := peer.ViewRequest{Incarnation: v.incarnation, Stats: v.stats.snapshot()}
	ask.Stats.PeerBytesIn = v.node.BytesReceived.Load()
	ask.Stats.PeerBytesOut = v.node.BytesSent.Load()
	ask.Stats.PeerMessages = v.node.Messages.Load()
	if current := v.current.Load(); current != nil {
		ask.Version = current.version
		if current.index != nil {
			ask.Revision = current.index.Revision()
		}
	}
	asked := time.Now()
	var reply peer.View
	if err := v.node.Call(ctx, v.controller, peer.KindViewRequest, ask, &reply); err != nil {
		return err
	}
	return v.merge(asked, reply)
}

// merge takes over a reply. The age of a view counts from the moment it was asked for. Only Serve calls it.
func (v *views) merge(asked time.Time, reply peer.View) error {
	next := &view{version: reply.Version, draining: reply.Draining, received: asked}
	previous := v.current.Load()
	if previous != nil {
		next.index, next.owners, next.summary = previous.index, previous.owners, previous.summary
	}
	if len(reply.Document) > 0 && (next.index == nil || reply.Revision > next.index.Revision()) {
		index, err := config.Parse(reply.Document)
		if err != nil {
			return err
		}
		next.index = index
		v.log.Info().Uint64("revision", index.Revision()).Msg("revision_in_force")
	}
	next.owners = mergeOwners(next.owners, reply.Owners, reply.Full)
	next.summary = mergeSummaries(next.summary, reply.Summary)
	v.current.Store(next)
	if next.draining {
		v.onDraining()
	}
	return nil
}

// mergeOwners returns a new map unless nothing changed, because earlier views are still in use.
func mergeOwners(old map[string]peer.OwnerView, updates []peer.OwnerView, full bool) map[string]peer.OwnerView {
	if len(updates) == 0 && !full {
		return old
	}
	merged := make(map[string]peer.OwnerView, len(old)+len(updates))
	if !full {
		maps.Copy(merged, old)
	}
	for _, owner := range updates {
		if owner.Address == "" {
			delete(merged, owner.Resource)
			continue
		}
		merged[owner.Resource] = owner
	}
	return merged
}

func mergeSummaries(old map[string]peer.EndpointSummary, updates []peer.EndpointSummary) map[string]peer.EndpointSummary {
	if len(updates) == 0 {
		return old
	}
	merged := make(map[string]peer.EndpointSummary, len(old)+len(updates))
	maps.Copy(merged, old)
	for _, s := range updates {
		merged[s.Endpoint] = s
	}
	return merged
}

// learn takes over a summary that came with an owner's reply.
func (v *views) learn(s peer.EndpointSummary) {
	if s.Endpoint == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.direct[s.Endpoint] = direct{EndpointSummary: s, received: time.Now()}
}

// directPrecedence is the time for which an owner's reply is preferred to the controller's copy, which is up to 1.2 s
// older. Afterwards the copy counts again: it is updated only when the load changes much, so a reply that caught a short
// peak would otherwise stand for long.
const directPrecedence = 1500 * time.Millisecond

// latest returns what is known of an endpoint's load and the time since it was confirmed. The controller tells when an
// endpoint has no live owner any more, so its copy is as fresh as the view.
func (v *views) latest(now time.Time, current *view, endpoint string) (s peer.EndpointSummary, age time.Duration, known bool) {
	v.mu.Lock()
	reply, replied := v.direct[endpoint]
	v.mu.Unlock()
	copied, known := current.summary[endpoint]
	if replied && (!known || now.Sub(reply.received) < directPrecedence) {
		return reply.EndpointSummary, now.Sub(reply.received), true
	}
	return copied, now.Sub(current.received), known
}
