package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/route"
)

// reasonEndpointRefused marks an endpoint that refused a request or failed it.
const reasonEndpointRefused = "endpoint_refused"

// serveUncontrolled hands the request over by a baseline policy without credits and length classes. It exists only to
// measure what they achieve. Reports to owners remain, because an owner cancels streams that no gateway holds.
func (x *exchange) serveUncontrolled(ctx context.Context) *outcome.Error {
	x.class = peer.ClassShort
	if x.req.PromptTokens+x.req.MaxTokens > x.service.Warm.Tokens {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "too_large",
			"no endpoint can hold the prompt", 0)
	}
	for {
		x.refused.prune(time.Now())
		latest := x.gateway.views.current.Load()
		decision := x.gateway.router.order(x.routeRequest(), x.uncontrolledCandidates(latest), x.refused.reasons)
		if len(decision.Choices) == 0 {
			if final := x.waitForCredit(ctx, x.gateway.jitter(x.refused.wait(time.Now()))); final != nil {
				return final
			}
			continue
		}
		endpoint := latest.index.Endpoint(decision.Choices[0].Endpoint)
		x.asks++
		taken := x.gateway.held.take(endpoint, x.creditAsk(ctx, endpoint.Name, partName(x.asks)), time.Now().Add(x.budget))
		final, again := x.handOver(ctx, taken)
		if !again {
			return final
		}
		x.refused.add(time.Now(), endpoint.Name, reasonEndpointRefused, 0)
	}
}

// uncontrolledCandidates lists the service's endpoints as equal: only the configuration takes one out.
func (x *exchange) uncontrolledCandidates(latest *view) []route.Candidate {
	var candidates []route.Candidate
	for _, endpoint := range latest.index.EndpointsOf(x.service.Name) {
		candidates = append(candidates, route.Candidate{
			Endpoint:    endpoint.Name,
			Owned:       true,
			AcceptsWork: latest.index.AcceptsWork(endpoint),
			Summary:     peer.EndpointSummary{Endpoint: endpoint.Name, State: peer.EndpointWarm},
		})
	}
	return candidates
}

// take holds a request at an endpoint without asking its owner.
func (h *heldCredits) take(endpoint *config.Endpoint, ask peer.CreditRequest, expires time.Time) *credited {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[ask.RequestID] = heldItem{CreditReportItem: reportItem(ask, peer.ReportHeld, 0)}
	return &credited{endpoint: endpoint, ask: ask, expires: expires}
}
