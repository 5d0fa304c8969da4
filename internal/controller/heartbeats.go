package controller

import (
	"context"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/member"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	heartbeatTimeout = time.Second
	documentTimeout  = 3 * time.Second
	// fetchPatience is the time after which another peer is asked for a value that the first one has not delivered.
	fetchPatience = 900 * time.Millisecond
)

func (c *Controller) serveHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(member.HeartbeatInterval)
	defer ticker.Stop()
	for {
		c.heartbeatRound(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-c.heartbeatNow:
		}
	}
}

// kickHeartbeats asks for a round of heartbeats without waiting for the interval.
func (c *Controller) kickHeartbeats() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

func (c *Controller) heartbeatRound(ctx context.Context) {
	c.mu.Lock()
	changes := c.table.Tick(time.Now())
	neighbours := c.table.Neighbours()
	c.mu.Unlock()
	c.logChanges(changes)
	for _, neighbour := range neighbours {
		go c.heartbeat(ctx, neighbour)
	}
}

func (c *Controller) heartbeat(ctx context.Context, neighbour config.Instance) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply peer.Heartbeat
	err := c.node.Call(ctx, neighbour.PeerAddress, peer.KindHeartbeat, c.outgoingHeartbeat(neighbour.Name), &reply)
	if err == nil {
		c.receiveHeartbeat(reply)
	}
}

func (c *Controller) outgoingHeartbeat(to string) peer.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, listRevision := c.revisions()
	return c.table.Outgoing(to, revision, listRevision)
}

// revisions returns the revisions in force; the caller holds the lock.
func (c *Controller) revisions() (revision, listRevision uint64) {
	if c.index != nil {
		revision = c.index.Revision()
	}
	if c.list != nil {
		listRevision = c.list.Revision
	}
	return revision, listRevision
}

// receiveHeartbeat takes a heartbeat over and fetches published values that the sender has in a higher revision.
func (c *Controller) receiveHeartbeat(heartbeat peer.Heartbeat) {
	c.mu.Lock()
	changes := c.table.Receive(time.Now(), heartbeat)
	revision, listRevision := c.revisions()
	address := c.peerAddress(heartbeat.Name)
	known := address != ""
	fetchConfig := known && heartbeat.Revision > revision && c.mayFetch(peer.SubjectConfig, heartbeat.Revision)
	fetchList := known && heartbeat.ListRevision > listRevision && c.mayFetch(peer.SubjectInstances, heartbeat.ListRevision)
	c.mu.Unlock()
	c.logChanges(changes)
	if fetchConfig {
		go c.fetchFromPeer(address, peer.SubjectConfig, heartbeat.Revision)
	}
	if fetchList {
		go c.fetchFromPeer(address, peer.SubjectInstances, heartbeat.ListRevision)
	}
}

// fetch is the last fetch of a published value from a peer.
type fetch struct {
	revision uint64
	at       time.Time
}

// mayFetch keeps the neighbours, which all announce a new revision within a second, from being asked all at once for
// the same value of up to 1 MB. The caller holds the lock.
func (c *Controller) mayFetch(subject peer.Subject, revision uint64) bool {
	now := time.Now()
	if last := c.fetches[subject]; last.revision >= revision && now.Sub(last.at) < fetchPatience {
		return false
	}
	c.fetches[subject] = fetch{revision: revision, at: now}
	return true
}

// peerAddress returns the peers' address of an instance, or ""; the caller holds the lock.
func (c *Controller) peerAddress(name string) string {
	if c.list == nil {
		return ""
	}
	for i := range c.list.Instances {
		if c.list.Instances[i].Name == name {
			return c.list.Instances[i].PeerAddress
		}
	}
	return ""
}

func (c *Controller) fetchFromPeer(address string, subject peer.Subject, revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), documentTimeout)
	defer cancel()
	var document peer.Document
	ask := peer.DocumentRequest{Subject: subject, MinRevision: revision}
	if err := c.node.Call(ctx, address, peer.KindDocumentRequest, ask, &document); err != nil {
		c.log.Warn().Err(err).Str("subject", string(subject)).Msg("document_fetch_failed")
		return
	}
	if document.Revision > 0 {
		c.documents.accept(subject, document.Bytes, sourcePeer)
	}
}

// logChanges logs transitions of members and lets the preferred holders be worked out again.
func (c *Controller) logChanges(changes []member.Change) {
	if len(changes) > 0 {
		c.kickLeases()
	}
	for _, change := range changes {
		c.log.Info().Str("member", change.Name).Str("from", string(change.From)).Str("to", string(change.To)).
			Str("reason", change.Reason).Msg("member_changed")
	}
}
