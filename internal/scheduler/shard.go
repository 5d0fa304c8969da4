// Package scheduler places requests for a whole fleet. The endpoints of a service are divided into shards. For each shard
// one instance, its scheduler, knows all work there and places the requests that the others ask about; they tell it
// of each end. Schedulers only make placement better: a request whose scheduler does not answer is placed by the instance
// itself, and two schedulers of one shard do no harm but to the quality of their placements.
package scheduler

import (
	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/peer"
)

// shardEndpoints is about the number of endpoints of a shard. More of them share out bursts better, fewer take less
// of the scheduler's processor time.
const shardEndpoints = 50

// Shard is a part of the endpoints of a service.
type Shard struct {
	Service      uint32
	Index, Count uint8
}

// ShardCount returns the number of shards for a number of endpoints. It is a power of two, so that a change of the number
// of endpoints rarely changes it.
func ShardCount(endpoints int) uint8 {
	const most = 64
	count := 1
	for count < most && endpoints*2 > 3*shardEndpoints*count {
		count *= 2
	}
	return uint8(count)
}

// Contains reports whether an endpoint is in the shard.
func (s Shard) Contains(e *fleet.Endpoint) bool { return uint8(e.Key()%uint32(s.Count)) == s.Index }

// key identifies the shard in the choice of its scheduler.
func (s Shard) key() uint64 {
	return xxhash.Sum64([]byte{
		byte(s.Service), byte(s.Service >> 8), byte(s.Service >> 16), byte(s.Service >> 24), s.Index, s.Count,
	})
}

func (s Shard) message() peer.PlaceShard {
	return peer.PlaceShard{Service: s.Service, Index: s.Index, Count: s.Count}
}

// shardOf returns the shard that a message names. It reports false if there is no such shard.
func shardOf(m peer.PlaceShard) (Shard, bool) {
	return Shard{Service: m.Service, Index: m.Index, Count: m.Count}, m.Count > 0 && m.Index < m.Count
}
