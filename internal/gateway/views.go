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
	// maxViewAge is the age of the view above which a gateway refuses requests. It bounds the time for which a gateway
	// that cannot reach its controller serves with an old configuration. Credits bound the load independently of it.
	maxViewAge = 3 * time.Second
)

// view is an immutable snapshot of the configuration, the owners and the endpoints' load.
type view struct {
	version     uint64
	index       *config.Index
	owners      map[string]peer.OwnerView
	summaries   map[string]peer.EndpointSummary
	draining    bool
	requestedAt time.Time
}

// ownerReply is an endpoint's load as its owner sent it in a credit reply.
type ownerReply struct {
	peer.EndpointSummary
	received time.Time
}

// fresh reports whether the controller confirmed the view within maxViewAge.
func (v *view) fresh(now time.Time) bool { return now.Sub(v.requestedAt) <= maxViewAge }

// views polls the instance's controller for the current view.
type views struct {
	node        *peer.Node
	controller  string
	incarnation int64
	stats       *stats
	log         zerolog.Logger
	// onDraining is called when the controller reports that the instance is leaving.
	onDraining func()
	current    atomic.Pointer[view]

	// mu guards ownerReplies, the latest reply from each endpoint's owner.
	mu           sync.Mutex
	ownerReplies map[string]ownerReply
}

func newViews(node *peer.Node, controller string, incarnation int64, s *stats, log zerolog.Logger) *views {
	return &views{
		node: node, controller: controller, incarnation: incarnation, stats: s, log: log,
		ownerReplies: make(map[string]ownerReply),
	}
}

// String implements fmt.Stringer.
func (v *views) String() string { return "views" }

// Serve polls the controller until the context is done.
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
	request := peer.ViewRequest{Incarnation: v.incarnation, Stats: v.stats.snapshot()}
	request.Stats.PeerBytesIn = v.node.BytesReceived.Load()
	request.Stats.PeerBytesOut = v.node.BytesSent.Load()
	request.Stats.PeerMessages = v.node.Messages.Load()
	if current := v.current.Load(); current != nil {
		request.Version = current.version
		if current.index != nil {
			request.Revision = current.index.Revision()
		}
	}
	requestedAt := time.Now()
	var reply peer.View
	if err := v.node.Call(ctx, v.controller, peer.KindViewRequest, request, &reply); err != nil {
		return err
	}
	return v.apply(requestedAt, reply)
}

// apply merges a reply into the current view. The age of a view is measured from the time at which it was requested. Only
// Serve calls apply.
func (v *views) apply(requestedAt time.Time, reply peer.View) error {
	next := &view{version: reply.Version, draining: reply.Draining, requestedAt: requestedAt}
	previous := v.current.Load()
	if previous != nil {
		next.index, next.owners, next.summaries = previous.index, previous.owners, previous.summaries
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
	next.summaries = mergeSummaries(next.summaries, reply.Summary)
	v.current.Store(next)
	if next.draining {
		v.onDraining()
	}
	return nil
}

// mergeOwners returns a new map unless nothing changed, because the old map belongs to views that may still be in use.
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

// storeOwnerReply stores the summary in an owner's reply.
func (v *views) storeOwnerReply(s peer.EndpointSummary) {
	if s.Endpoint == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ownerReplies[s.Endpoint] = ownerReply{EndpointSummary: s, received: time.Now()}
}

// ownerReplyPrecedence is the time for which an owner's reply is preferred to the controller's copy, which is up to 1.2 s
// older. After that the copy is used. Without this limit a reply from a short load peak would hide the copy, which is
// updated only when the load changes substantially.
const ownerReplyPrecedence = 1500 * time.Millisecond

// endpointLoad returns the latest load summary of an endpoint and the time since it was confirmed. The age of the
// controller's copy is the age of the view, because the controller reports when an endpoint no longer has a live owner.
func (v *views) endpointLoad(
	now time.Time, current *view, endpoint string,
) (s peer.EndpointSummary, age time.Duration, known bool) {
	v.mu.Lock()
	reply, replied := v.ownerReplies[endpoint]
	v.mu.Unlock()
	controllerCopy, known := current.summaries[endpoint]
	if replied && (!known || now.Sub(reply.received) < ownerReplyPrecedence) {
		return reply.EndpointSummary, now.Sub(reply.received), true
	}
	return controllerCopy, now.Sub(current.requestedAt), known
}
