package placement

import "math"

// keptQueueFraction is the fraction of an endpoint's queue places that the lowest rank leaves to higher ones. Its slots are open to
// all ranks, so that none stays free while requests are refused.
const keptQueueFraction = 0.5

// PlainRank is the rank of a request among the Ranks ranks of its plain service; 0 is the highest. With the zero value ranks do
// not count.
type PlainRank struct {
	Rank, Ranks int
}

// PlacePlain places a request on the endpoint of a plain service with the fewest requests per slot. Endpoints in other
// domains have a higher cost, cold and suspect endpoints the highest.
func (p Planner) PlacePlain(candidates []Candidate, domain string, rank PlainRank) (Choice, *Refusal) {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.Full || c.isWindowUsed() || c.Streams >= rank.places(c.Endpoint.Slots) {
			continue
		}
		if best == nil || plainCost(c, domain) < plainCost(best, domain) {
			best = c
		}
	}
	switch {
	case best != nil:
		return Choice{Primary: best.Endpoint}, nil
	case len(candidates) == 0:
		return Choice{}, &Refusal{Reason: NoEndpoint, RetryAfter: minRetryAfter}
	}
	return Choice{}, &Refusal{Reason: SlotsFull, RetryAfter: p.randomDelay(minRetryAfter/2, minRetryAfter)}
}

const (
	// plainSlowCost is the cost of an endpoint of a plain service for each unit of its slowdown, at most maxPlainSlowCost.
	plainSlowCost    = 0.35
	maxPlainSlowCost = 1.5
)

// places returns the number of requests at an endpoint below which it may get one of this rank. An endpoint has as many queue places
// as slots. Each rank leaves more of the queue places to higher ranks than the rank above it, and the lowest keptQueueFraction of them.
func (r PlainRank) places(slots int) int {
	all := slots * 2
	if r.Ranks < 2 || r.Rank <= 0 {
		return all
	}
	share := float64(min(r.Rank, r.Ranks-1)) / float64(r.Ranks-1)
	kept := int(math.Ceil(keptQueueFraction * float64(slots) * share))
	return all - kept
}

// plainCost ranks the endpoints of a plain service. An endpoint queues requests that exceed its slots.
func plainCost(c *Candidate, domain string) float64 {
	cost := float64(c.Streams) / float64(max(c.Endpoint.Slots, 1))
	if c.Endpoint.Domain != domain {
		cost += 0.5
	}
	if c.Cold || c.Suspect {
		cost += 2
	}
	if c.isSlow() {
		// A slow endpoint gets requests before a suspect one, and after the endpoints of other domains.
		cost += min(plainSlowCost*c.Slowdown, maxPlainSlowCost)
	}
	return cost
}
