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

// reasonEndpointRefused is the refusal reason of an endpoint that refused a dispatched request.
const reasonEndpointRefused = "endpoint_refused"

// serveUncontrolled dispatches the request by a baseline policy without credits and length classes. It exists only to
// measure the effect of credits and length classes. Requests are still reported to the owners, because an owner cancels
// streams that no gateway holds.
func (x *exchange) serveUncontrolled(ctx context.Context) *outcome.Error {
	x.class = peer.ClassShort
	if x.req.PromptTokens+x.req.MaxTokens > x.service.Warm.Tokens {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "too_large",
			"no endpoint can hold the prompt", 0)
	}
	for {
		x.refusals.prune(time.Now())
		latest := x.gateway.views.current.Load()
		decision := x.gateway.router.order(x.routeRequest(), x.uncontrolledCandidates(latest), x.refusals.reasons)
		if len(decision.Choices) == 0 {
			if final := x.waitForCredit(ctx, x.gateway.jitter(x.refusals.wait(time.Now()))); final != nil {
				return final
			}
			continue
		}
		endpoint := latest.index.Endpoint(decision.Choices[0].Endpoint)
		x.creditRequests++
		held := x.gateway.credits.holdUncontrolled(
			endpoint, x.creditRequest(ctx, endpoint.Name, partName(x.creditRequests)), time.Now().Add(x.budget))
		final, retry := x.dispatch(ctx, held)
		if !retry {
			return final
		}
		x.refusals.add(time.Now(), endpoint.Name, reasonEndpointRefused, 0)
	}
}

// uncontrolledCandidates lists the service's endpoints as warm and owned. Only the configuration excludes an endpoint.
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

// holdUncontrolled records a held reservation at an endpoint without a credit from its owner.
func (c *creditClient) holdUncontrolled(
	endpoint *config.Endpoint, request peer.CreditRequest, expires time.Time,
) *grantedCredit {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[request.RequestID] = heldCredit{CreditReportItem: reportItem(request, peer.ReportHeld, 0)}
	return &grantedCredit{endpoint: endpoint, request: request, expires: expires}
}
