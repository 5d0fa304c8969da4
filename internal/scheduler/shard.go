// Package scheduler places requests for a whole fleet. The endpoints of a service are divided into shards. For each shard
// one instance, its scheduler, tracks all in-flight requests and places the new requests of all instances. The instances
// send it an update when a prefill is done and when a request ends. If a scheduler does not reply, the instance places the
// request itself. Schedulers affect only the quality of placements: an unresponsive scheduler, or two schedulers of one
// shard, make placements worse.
package scheduler

import (
	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/peer"
)

// endpointsPerShard is the approximate number of endpoints of a shard. Larger shards distribute bursts better, smaller
// ones need less processor time at the scheduler.
const endpointsPerShard = 50

// Shard is a subset of the endpoints of a service.
type Shard struct {
	Service      uint32
	Index, Count uint8
}

// ShardCount returns the number of shards for a number of endpoints. It is a power of two, so it rarely changes when
// endpoints are added or removed.
func ShardCount(endpoints int) uint8 {
	const most = 64
	count := 1
	for count < most && endpoints*2 > 3*endpointsPerShard*count {
		count *= 2
	}
	return uint8(count)
}

// Contains reports whether an endpoint is in the shard.
func (s Shard) Contains(e *fleet.Endpoint) bool { return uint8(e.Key()%uint32(s.Count)) == s.Index }

// key identifies the shard when its scheduler is chosen.
func (s Shard) key() uint64 {
	return xxhash.Sum64([]byte{
		byte(s.Service), byte(s.Service >> 8), byte(s.Service >> 16), byte(s.Service >> 24), s.Index, s.Count,
	})
}

func (s Shard) message() peer.PlaceShard {
	return peer.PlaceShard{Service: s.Service, Index: s.Index, Count: s.Count}
}

// shardOf returns the shard of a message. It returns false if there is no such shard.
func shardOf(m peer.PlaceShard) (Shard, bool) {
	return Shard{Service: m.Service, Index: m.Index, Count: m.Count}, m.Count > 0 && m.Index < m.Count
}
