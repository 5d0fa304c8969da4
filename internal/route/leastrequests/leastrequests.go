// Package leastrequests implements a baseline policy that orders endpoints by the number of in-flight requests of this
// gateway.
package leastrequests

import (
	"math/rand/v2"
	"sort"

	"github.com/acacialift/acacialift/internal/route"
)

// Policy implements route.Policy.
type Policy struct {
	random *rand.Rand
	// requests returns the number of the gateway's in-flight requests at an endpoint.
	requests func(endpoint string) int
}

// New returns the policy; requests returns the number of the gateway's in-flight requests at an endpoint.
func New(random *rand.Rand, requests func(endpoint string) int) *Policy {
	return &Policy{random: random, requests: requests}
}

// Order implements route.Policy. Candidates with the same number of requests are in random order.
func (p *Policy) Order(request route.Request, candidates []route.Candidate, refusals route.Refusals) route.Decision {
	usable, skipped := route.Usable(request, candidates, refusals)
	p.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	sort.SliceStable(usable, func(i, j int) bool {
		return p.requests(usable[i].Endpoint) < p.requests(usable[j].Endpoint)
	})
	decision := route.Decision{Skipped: skipped}
	for _, candidate := range usable {
		decision.Choices = append(decision.Choices, candidate.Choice(request, route.ReasonLeastLoaded))
	}
	return decision
}
