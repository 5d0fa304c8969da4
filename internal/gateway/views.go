package gateway

import (
	"context"
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
	summary  map[string]summary
	draining bool
	received time.Time
}

// summary is an endpoint's load with the time at which it arrived.
type summary struct {
	peer.EndpointSummary
	received time.Time
	// direct is true if the owner sent it with a reply; the controller's copy may be up to a second older.
	direct bool
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
	mu         sync.Mutex
}

func newViews(node *peer.Node, controller string, incarnation int64, s *stats, log zerolog.Logger) *views {
	return &views{node: node, controller: controller, incarnation: incarnation, stats: s, log: log}
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
	ask := peer.ViewAsk{Incarnation: v.incarnation, Stats: v.stats.snapshot()}
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
	if err := v.node.Call(ctx, v.controller, peer.KindViewAsk, ask, &reply); err != nil {
		return err
	}
	return v.merge(asked, reply)
}

// merge takes over a reply. The age of a view counts from the moment it was asked for.
func (v *views) merge(asked time.Time, reply peer.View) error {
	v.mu.Lock()
	defer v.mu.Unlock()
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
	if len(reply.Owners) > 0 || previous == nil || previous.version != reply.Version {
		next.owners = make(map[string]peer.OwnerView, len(reply.Owners))
		for _, owner := range reply.Owners {
			next.owners[owner.Resource] = owner
		}
	}
	next.summary = mergeSummaries(next.summary, reply.Summary, asked, false)
	v.current.Store(next)
	if next.draining {
		v.onDraining()
	}
	return nil
}

// learn takes over a summary that came with an owner's reply.
func (v *views) learn(s peer.EndpointSummary) {
	if s.Endpoint == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.current.Load()
	if current == nil {
		return
	}
	next := *current
	next.summary = mergeSummaries(current.summary, []peer.EndpointSummary{s}, time.Now(), true)
	v.current.Store(&next)
}

// directPrecedence is the time for which an owner's reply is preferred to the controller's copy.
const directPrecedence = time.Second

func mergeSummaries(
	old map[string]summary, updates []peer.EndpointSummary, received time.Time, direct bool,
) map[string]summary {
	if len(updates) == 0 {
		return old
	}
	merged := make(map[string]summary, len(old)+len(updates))
	for name, s := range old {
		merged[name] = s
	}
	for _, s := range updates {
		known := merged[s.Endpoint]
		if !direct && known.direct && received.Sub(known.received) < directPrecedence {
			continue
		}
		merged[s.Endpoint] = summary{EndpointSummary: s, received: received, direct: direct}
	}
	return merged
}
