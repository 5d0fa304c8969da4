package gateway

import (
	"sort"

	"github.com/acacialift/acacialift/internal/config"
)

// choice is an endpoint to ask for, with the reason for the decision log.
type choice struct {
	endpoint *config.Endpoint
	reason   string
}

// choose returns the endpoints of the service that accept work, the least loaded first.
func (x *exchange) choose() []choice {
	latest := x.gateway.views.current.Load()
	var choices []choice
	for _, endpoint := range latest.index.EndpointsOf(x.service.Name) {
		if latest.index.AcceptsWork(endpoint) {
			choices = append(choices, choice{endpoint: endpoint, reason: "least_queued"})
		}
	}
	x.gateway.randMu.Lock()
	x.gateway.rand.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	x.gateway.randMu.Unlock()
	queued := func(c choice) int64 { return latest.summary[c.endpoint.Name].QueuedTokens }
	sort.SliceStable(choices, func(i, j int) bool { return queued(choices[i]) < queued(choices[j]) })
	return choices
}
