// Package randomtwo is a baseline policy: of two random endpoints, the one with fewer requests of this gateway goes
// first.
package randomtwo

import (
	"math/rand/v2"

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

// Order implements route.Policy. Each place in the order goes to the better of two random remaining candidates.
func (p *Policy) Order(request route.Request, candidates []route.Candidate, refusals route.Refusals) route.Decision {
	usable, skipped := route.Usable(request, candidates, refusals)
	decision := route.Decision{Skipped: skipped}
	for len(usable) > 0 {
		p.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		best := 0
		if len(usable) > 1 && p.streams(usable[1].Endpoint) < p.streams(usable[0].Endpoint) {
			best = 1
		}
		decision.Choices = append(decision.Choices, usable[best].Choice(request, route.ReasonRandomTwo))
		usable = append(usable[:best:best], usable[best+1:]...)
	}
	return decision
}
