package gateway

import (
	"math/rand/v2"

	"github.com/acacialift/acacialift/internal/route"
	"github.com/acacialift/acacialift/internal/route/leastrequests"
	"github.com/acacialift/acacialift/internal/route/randomtwo"
	"github.com/acacialift/acacialift/internal/settings"
)

// newPolicy returns the routing policy that the settings name. The baseline policies compare endpoints by the number of
// requests that this gateway is running on them.
func newPolicy(name settings.Policy, random *rand.Rand, streams func(endpoint string) int) route.Policy {
	switch name {
	case settings.PolicyLeastRequests:
		return leastrequests.New(random, streams)
	case settings.PolicyRandomTwo:
		return randomtwo.New(random, streams)
	default:
		return route.NewLeastWait(random)
	}
}
