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
	// fetchRetryDelay is the time after which a value is requested from another peer because the first has not delivered it.
	fetchRetryDelay = 900 * time.Millisecond
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
		case <-c.heartbeatTrigger:
		}
	}
}

// triggerHeartbeatRound starts a round of heartbeats without waiting for the ticker.
func (c *Controller) triggerHeartbeatRound() {
	select {
	case c.heartbeatTrigger <- struct{}{}:
	default:
	}
}

func (c *Controller) heartbeatRound(ctx context.Context) {
	c.mu.Lock()
	changes := c.table.Tick(time.Now())
	neighbours := c.table.Neighbours()
	c.mu.Unlock()
	c.handleMemberChanges(changes)
	for _, neighbour := range neighbours {
		go c.heartbeat(ctx, neighbour)
	}
}

func (c *Controller) heartbeat(ctx context.Context, neighbour config.Instance) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply peer.Heartbeat
	err := c.node.Call(ctx, neighbour.PeerAddress, peer.KindHeartbeat, c.heartbeatTo(neighbour.Name), &reply)
	if err == nil {
		c.receiveHeartbeat(reply)
	}
}

func (c *Controller) heartbeatTo(to string) peer.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, listRevision := c.revisions()
	return c.table.HeartbeatTo(to, revision, listRevision)
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

// receiveHeartbeat applies a heartbeat. It fetches a published value from the sender if the sender has a higher revision.
func (c *Controller) receiveHeartbeat(heartbeat peer.Heartbeat) {
	c.mu.Lock()
	changes := c.table.Receive(time.Now(), heartbeat)
	revision, listRevision := c.revisions()
	address := c.peerAddress(heartbeat.Name)
	known := address != ""
	fetchConfig := known && heartbeat.Revision > revision && c.beginFetch(peer.SubjectConfig, heartbeat.Revision)
	fetchList := known && heartbeat.ListRevision > listRevision && c.beginFetch(peer.SubjectInstances, heartbeat.ListRevision)
	c.mu.Unlock()
	c.handleMemberChanges(changes)
	if fetchConfig {
		go c.fetchFromPeer(address, peer.SubjectConfig, heartbeat.Revision)
	}
	if fetchList {
		go c.fetchFromPeer(address, peer.SubjectInstances, heartbeat.ListRevision)
	}
}

// peerFetch records the last fetch of a published value from a peer.
type peerFetch struct {
	revision uint64
	at       time.Time
}

// beginFetch returns false if this or a higher revision was requested from a peer within fetchRetryDelay; otherwise it
// records the fetch. All neighbours announce a new revision within a second, and a value of up to 1 MB should be fetched from one
// of them only. The caller holds the lock.
func (c *Controller) beginFetch(subject peer.Subject, revision uint64) bool {
	now := time.Now()
	if last := c.fetches[subject]; last.revision >= revision && now.Sub(last.at) < fetchRetryDelay {
		return false
	}
	c.fetches[subject] = peerFetch{revision: revision, at: now}
	return true
}

// peerAddress returns the peer address of an instance, or "" if it is not listed; the caller holds the lock.
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
	request := peer.DocumentRequest{Subject: subject, MinRevision: revision}
	if err := c.node.Call(ctx, address, peer.KindDocumentRequest, request, &document); err != nil {
		c.log.Warn().Err(err).Str("subject", string(subject)).Msg("document_fetch_failed")
		return
	}
	if document.Revision > 0 {
		c.documents.offer(subject, document.Bytes, sourcePeer)
	}
}

// handleMemberChanges logs state transitions of members and starts a lease round, which updates the preferred holders.
func (c *Controller) handleMemberChanges(changes []member.Change) {
	if len(changes) > 0 {
		c.triggerLeaseRound()
	}
	for _, change := range changes {
		c.log.Info().Str("member", change.Name).Str("from", string(change.From)).Str("to", string(change.To)).
			Str("reason", change.Reason).Msg("member_changed")
	}
}
