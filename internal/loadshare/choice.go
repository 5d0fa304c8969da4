package loadshare

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hubCandidate is an instance that may be a hub.
type hubCandidate struct {
	address string
	seed    bool
	weight  uint8
	hash    uint64
}

// compare orders hubs: seeds first, because all instances know them, then those that may use more of their processor.
func (c hubCandidate) compare(other hubCandidate) int {
	if c.seed != other.seed {
		if c.seed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.weight, c.weight), cmp.Compare(c.hash, other.hash), strings.Compare(c.address, other.address))
}

// hubs returns the instances that add up the counts, in an order that all compute alike. The own address may be among
// them.
func (r *roster) hubs(now time.Time) []string {
	candidates := []hubCandidate{{address: r.self, seed: r.selfSeed, weight: r.capacity, hash: xxhash.Sum64String(r.self)}}
	live := 0
	for address, m := range r.members {
		if !m.isLive(now) {
			continue
		}
		live++
		if !now.Before(m.passedOverUntil) {
			candidates = append(candidates, hubCandidate{address: address, seed: m.seed, weight: m.capacity, hash: m.hash})
		}
	}
	slices.SortFunc(candidates, hubCandidate.compare)
	count := max(minHubs, (live+membersPerHub)/membersPerHub)
	var hubs []string
	for _, c := range candidates[:min(count, len(candidates))] {
		hubs = append(hubs, c.address)
	}
	return hubs
}

// hubOf returns the one of the hubs that adds up the counts of this instance.
func (r *roster) hubOf(hubs []string) string {
	others := slices.DeleteFunc(slices.Clone(hubs), func(address string) bool { return address == r.self })
	if len(others) == 0 {
		return ""
	}
	return others[xxhash.Sum64String(r.self)%uint64(len(others))]
}

const (
	// schedulerRefresh is how long a choice of a scheduler holds.
	schedulerRefresh = 100 * time.Millisecond
	// schedulerCapacity is the part of the largest capacity that a scheduler has at least.
	schedulerCapacity = 0.5
	// mixFactor spreads the bits of a product over the whole word.
	mixFactor = 0x9e3779b97f4a7c15
)

// scheduler returns the live instance that ranks first for a key among those with much capacity.
func (r *roster) scheduler(key uint64, now time.Time) string {
	if c, ok := r.schedulers[key]; ok && now.Sub(c.at) < schedulerRefresh {
		return c.address
	}
	best, bestRank := r.self, uint64(0)
	least := uint8(schedulerCapacity * float64(r.largestCapacity(now)))
	if r.capacity >= least {
		bestRank = rankOf(key, xxhash.Sum64String(r.self))
	}
	for address, m := range r.members {
		if m.capacity < least || !m.isLive(now) {
			continue
		}
		if rank := rankOf(key, m.hash); rank > bestRank || rank == bestRank && address < best {
			best, bestRank = address, rank
		}
	}
	r.schedulers[key] = chosen{address: best, at: now}
	return best
}

// rankOf returns the rank of an instance for a key, by rendezvous hashing.
func rankOf(key, hash uint64) uint64 {
	mixed := (key ^ hash) * mixFactor
	mixed ^= mixed >> 32
	return mixed * mixFactor
}

func (r *roster) largestCapacity(now time.Time) uint8 {
	largest := r.capacity
	for _, m := range r.members {
		if m.capacity > largest && m.isLive(now) {
			largest = m.capacity
		}
	}
	return largest
}
