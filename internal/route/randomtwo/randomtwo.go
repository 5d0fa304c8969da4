// Package randomtwo implements a baseline policy, the power of two choices: of two random endpoints, the one with fewer
// in-flight requests of this gateway comes first.
package randomtwo

import (
	"math/rand/v2"

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

// Order implements route.Policy. Each position in the order goes to the candidate with fewer requests out of two random
// remaining ones.
func (p *Policy) Order(request route.Request, candidates []route.Candidate, refusals route.Refusals) route.Decision {
	usable, skipped := route.Usable(request, candidates, refusals)
	decision := route.Decision{Skipped: skipped}
	for len(usable) > 0 {
		p.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		best := 0
		if len(usable) > 1 && p.requests(usable[1].Endpoint) < p.requests(usable[0].Endpoint) {
			best = 1
		}
		decision.Choices = append(decision.Choices, usable[best].Choice(request, route.ReasonRandomTwo))
		usable = append(usable[:best:best], usable[best+1:]...)
	}
	return decision
}
