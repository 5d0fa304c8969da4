package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

// ensureSynced sends the list of this instance's requests on a shard to a scheduler that has not received it yet.
func (c *Client) ensureSynced(shard Shard, address string) {
	c.mu.Lock()
	synced := c.syncedWith[shard] == address
	c.syncedWith[shard] = address
	c.mu.Unlock()
	if !synced {
		c.sync(shard, address, requestsOn(c.options.Load, shard, time.Now()))
	}
}

// requestsOn returns the requests of this instance on a shard.
func requestsOn(tracker *load.Tracker, shard Shard, now time.Time) []load.RequestState {
	var requests []load.RequestState
	for _, r := range tracker.Requests(now) {
		if r.Work.Primary.Service != "" && shard.Service == serviceKey(r.Work.Primary) && usesShard(shard, &r.Work) {
			requests = append(requests, r)
		}
	}
	return requests
}

// usesShard reports whether the work uses an endpoint of the shard.
func usesShard(shard Shard, w *load.Work) bool {
	if shard.Contains(w.Primary) {
		return true
	}
	for _, e := range w.Helpers {
		if shard.Contains(e) {
			return true
		}
	}
	return false
}

func serviceKey(e *fleet.Endpoint) uint32 { return (&fleet.Service{Name: e.Service}).Key() }

func (c *Client) sync(shard Shard, address string, requests []load.RequestState) {
	if address == c.options.Self {
		c.options.Local.Sync(shard, c.options.Self, requests, time.Now())
		return
	}
	c.send(address, peer.KindPlaceSync, syncMessage(c.options.Self, shard, requests))
}

// shards returns all shards of the model services.
func (c *Client) shards() []Shard {
	snapshot := c.options.State.Snapshot()
	if snapshot.Catalog == nil {
		return nil
	}
	var all []Shard
	for name, service := range snapshot.Catalog.Services {
		count := ShardCount(len(snapshot.Endpoints[name]))
		if service.Engine == nil {
			continue
		}
		for index := range count {
			all = append(all, Shard{Service: service.Key(), Index: index, Count: count})
		}
	}
	return all
}

// syncShard sends the list of this instance's requests to the scheduler of a shard. It does not send an empty list if its
// previous list of the shard was empty too and that scheduler has already received a list.
func (c *Client) syncShard(shard Shard, address string, now time.Time) {
	requests := requestsOn(c.options.Load, shard, now)
	c.mu.Lock()
	due := len(requests) > 0 || c.hadRequests[shard] || c.syncedWith[shard] != address
	c.syncedWith[shard], c.hadRequests[shard] = address, len(requests) > 0
	c.mu.Unlock()
	if due {
		c.sync(shard, address, requests)
	}
}
