package placement

// PlacePlain places a request on the endpoint of a plain service with the fewest requests per slot. Endpoints in other
// domains have a higher cost, cold and suspect endpoints the highest.
func (p Planner) PlacePlain(candidates []Candidate, domain string) (Choice, *Refusal) {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.Full || c.isWindowUsed() || c.Streams >= c.Endpoint.Slots*2 {
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
