package loadshare

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// aggregatorCandidate is an instance that may become an aggregator.
type aggregatorCandidate struct {
	address string
	seed    bool
	weight  uint8
	hash    uint64
}

// compare orders candidates: seeds first, because all instances know them, then by descending processor capacity.
func (c aggregatorCandidate) compare(other aggregatorCandidate) int {
	if c.seed != other.seed {
		if c.seed {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(other.weight, c.weight), cmp.Compare(c.hash, other.hash), strings.Compare(c.address, other.address),
	)
}

// aggregators returns the instances that sum up the counts. All instances compute the same order. The local address
// may be among them.
func (r *roster) aggregators(now time.Time) []string {
	candidates := []aggregatorCandidate{{
		address: r.self, seed: r.selfIsSeed, weight: r.capacity, hash: xxhash.Sum64String(r.self),
	}}
	live := 0
	for address, m := range r.members {
		if !m.isLive(now) {
			continue
		}
		live++
		if !now.Before(m.skippedUntil) {
			candidates = append(candidates, aggregatorCandidate{address: address, seed: m.seed, weight: m.capacity, hash: m.hash})
		}
	}
	slices.SortFunc(candidates, aggregatorCandidate.compare)
	count := max(minAggregators, (live+membersPerAggregator)/membersPerAggregator)
	var aggregators []string
	for _, c := range candidates[:min(count, len(candidates))] {
		aggregators = append(aggregators, c.address)
	}
	return aggregators
}

// aggregatorFrom returns the aggregator in the list that sums up the counts of this instance.
func (r *roster) aggregatorFrom(aggregators []string) string {
	others := slices.DeleteFunc(slices.Clone(aggregators), func(address string) bool { return address == r.self })
	if len(others) == 0 {
		return ""
	}
	return others[xxhash.Sum64String(r.self)%uint64(len(others))]
}

const (
	// schedulerRefresh is how long a choice of a scheduler is cached.
	schedulerRefresh = 100 * time.Millisecond
	// minSchedulerCapacity is the least capacity of a scheduler, as a fraction of the largest capacity in the fleet.
	minSchedulerCapacity = 0.5
	// mixFactor spreads the bits of a product over all 64 bits.
	mixFactor = 0x9e3779b97f4a7c15
)

// scheduler returns the live instance that ranks first for a key, among the instances with at least
// minSchedulerCapacity.
func (r *roster) scheduler(key uint64, now time.Time) string {
	if c, ok := r.schedulers[key]; ok && now.Sub(c.chosenAt) < schedulerRefresh {
		return c.address
	}
	best := r.schedulerWithout(key, "", now)
	r.schedulers[key] = schedulerChoice{address: best, chosenAt: now}
	return best
}

// schedulerWithout is scheduler without the cache and without a failed instance.
func (r *roster) schedulerWithout(key uint64, failed string, now time.Time) string {
	best, bestRank := r.self, uint64(0)
	least := uint8(minSchedulerCapacity * float64(r.maxCapacity(now)))
	if r.capacity >= least {
		bestRank = rankOf(key, xxhash.Sum64String(r.self))
	}
	for address, m := range r.members {
		if m.capacity < least || !m.isLive(now) || address == failed {
			continue
		}
		if rank := rankOf(key, m.hash); rank > bestRank || rank == bestRank && address < best {
			best, bestRank = address, rank
		}
	}
	return best
}

// rankOf returns the rank of an instance for a key, by rendezvous hashing.
func rankOf(key, hash uint64) uint64 {
	mixed := (key ^ hash) * mixFactor
	mixed ^= mixed >> 32
	return mixed * mixFactor
}

func (r *roster) maxCapacity(now time.Time) uint8 {
	largest := r.capacity
	for _, m := range r.members {
		if m.capacity > largest && m.isLive(now) {
			largest = m.capacity
		}
	}
	return largest
}
