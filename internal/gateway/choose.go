package gateway

import (
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/route"
)

// router serializes access to the routing policy, whose random source is not safe for concurrent use, and to the table
// of cached prompt prefixes.
type router struct {
	mu       sync.Mutex
	policy   route.Policy
	prefixes *route.Prefixes
}

func (r *router) order(request route.Request, candidates []route.Candidate, refusals route.Refusals) route.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Order(request, candidates, refusals)
}

func (r *router) notePrefix(prefix uint64, endpoint string, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.Note(time.Now(), prefix, endpoint, tokens)
}

func (r *router) cached(prefix uint64, endpoint string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefixes.Cached(time.Now(), prefix, endpoint)
}

func (x *exchange) routeRequest() route.Request {
	request := route.Request{
		ID:           x.id.String(),
		Service:      x.service.Name,
		Plain:        x.service.Kind == config.KindPlain,
		Profile:      x.profile.Name,
		Team:         x.req.Team,
		Class:        x.class,
		PromptTokens: x.req.PromptTokens,
		OutputTokens: x.req.MaxTokens,
		Prefix:       x.req.PrefixHash,
	}
	if request.Plain {
		request.PromptTokens, request.OutputTokens, request.Prefix = 0, 0, 0
	}
	return request
}

// candidates lists the service's endpoints as of the latest view. The view at admission determines only the profile and
// the service. An endpoint that was taken out of service since then gets no requests.
func (x *exchange) candidates(latest *view) []route.Candidate {
	now := time.Now()
	var candidates []route.Candidate
	for _, endpoint := range latest.index.EndpointsOf(x.service.Name) {
		summary, age, known := x.gateway.views.endpointLoad(now, latest, endpoint.Name)
		_, owned := latest.owners[endpointPrefix+endpoint.Name]
		candidate := route.Candidate{
			Endpoint:     endpoint.Name,
			Owned:        owned,
			AcceptsWork:  latest.index.AcceptsWork(endpoint),
			Summary:      summary,
			Age:          age,
			PrefillRate:  x.service.PrefillRate,
			LongPrefills: x.service.LongPrefills,
		}
		if !known {
			candidate.Summary = peer.EndpointSummary{Endpoint: endpoint.Name, State: peer.EndpointUnknown}
			candidate.Age = 0
		}
		if x.service.Kind == config.KindModel && x.req.PrefixHash != 0 {
			candidate.CachedTokens = x.gateway.router.cached(x.req.PrefixHash, endpoint.Name)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}
