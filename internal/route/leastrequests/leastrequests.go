// Package leastrequests is a baseline policy: the endpoint with the fewest requests of this gateway goes first.
package leastrequests

import (
	"math/rand/v2"
	"sort"

	"github.com/acacialift/acacialift/internal/route"
)

// Policy implements route.Policy.
type Policy struct {
	random *rand.Rand
	// streams returns the number of requests that the gateway has running at an endpoint.
	streams func(endpoint string) int
}

// New returns the policy.
func New(random *rand.Rand, streams func(endpoint string) int) *Policy {
	return &Policy{random: random, streams: streams}
}

// Order implements route.Policy. Equal candidates are put in random order.
func (p *Policy) Order(request route.Request, candidates []route.Candidate, refusals route.Refusals) route.Decision {
	usable, skipped := route.Usable(request, candidates, refusals)
	p.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	sort.SliceStable(usable, func(i, j int) bool {
		return p.streams(usable[i].Endpoint) < p.streams(usable[j].Endpoint)
	})
	decision := route.Decision{Skipped: skipped}
	for _, candidate := range usable {
		decision.Choices = append(decision.Choices, candidate.Choice(request, route.ReasonLeastLoaded))
	}
	return decision
}
