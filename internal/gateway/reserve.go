package gateway

import (
	"context"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/route"
)

const (
	// minCreditWait and maxCreditWait bound the delay, before jitter, between two rounds of credit requests for one request.
	minCreditWait = 5 * time.Millisecond
	maxCreditWait = 250 * time.Millisecond
	// defaultRefusalWait is the delay before an endpoint is tried again if its owner sent no retry delay.
	defaultRefusalWait = 50 * time.Millisecond
	// maxRequestsPerRound limits the number of credit requests in one round. If a round leaves endpoints untried, the next one
	// follows without a delay and orders them again by the latest view.
	maxRequestsPerRound = 4
)

// refusals holds the endpoints that refused a request, each until it may be tried again.
type refusals struct {
	reasons    route.Refusals
	until      map[string]time.Time
	lastReason string
}

func newRefusals() *refusals {
	return &refusals{reasons: make(route.Refusals), until: make(map[string]time.Time), lastReason: "no_endpoint"}
}

func (r *refusals) add(now time.Time, endpoint, reason string, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = defaultRefusalWait
	}
	r.reasons[endpoint] = reason
	r.until[endpoint] = now.Add(retryAfter)
	r.lastReason = reason
}

// clear removes the refusals but keeps the last reason.
func (r *refusals) clear() {
	clear(r.reasons)
	clear(r.until)
}

func (r *refusals) prune(now time.Time) {
	for endpoint, until := range r.until {
		if !now.Before(until) {
			delete(r.until, endpoint)
			delete(r.reasons, endpoint)
		}
	}
}

// wait returns the time until the first endpoint may be tried again, between minCreditWait and maxCreditWait.
func (r *refusals) wait(now time.Time) time.Duration {
	wait := maxCreditWait
	for _, until := range r.until {
		wait = min(wait, until.Sub(now))
	}
	return max(wait, minCreditWait)
}

// onlyBudget reports whether there are refusals, and all of them say that the request cannot meet its budget at the
// endpoint.
func (r *refusals) onlyBudget() bool {
	for _, reason := range r.reasons {
		if reason != credit.ReasonBudget {
			return false
		}
	}
	return len(r.reasons) > 0
}

// reserve requests a credit from the owners in the routing policy's order until one grants it.
func (x *exchange) reserve(ctx context.Context) (*grantedCredit, *outcome.Error) {
	for {
		if ctx.Err() != nil {
			return nil, x.endWithoutCredit(ctx, x.refusals.lastReason)
		}
		x.refusals.prune(time.Now())
		latest := x.gateway.views.current.Load()
		decision := x.gateway.router.order(x.routeRequest(), x.candidates(latest), x.refusals.reasons)
		attempts := min(len(decision.Choices), maxRequestsPerRound)
		for _, choice := range decision.Choices[:attempts] {
			granted := x.reserveAt(ctx, latest.index.Endpoint(choice.Endpoint), choice)
			if granted != nil {
				return granted, nil
			}
		}
		if attempts == len(decision.Choices) && x.refusals.onlyBudget() {
			return nil, x.endWithoutCredit(ctx, credit.ReasonBudget)
		}
		if attempts < len(decision.Choices) {
			continue
		}
		if attempts == 0 && len(decision.Skipped) > 0 && len(x.refusals.reasons) == 0 {
			x.refusals.lastReason = decision.Skipped[0].Reason
		}
		if final := x.waitForCredit(ctx, x.gateway.jitter(x.refusals.wait(time.Now()))); final != nil {
			return nil, final
		}
	}
}

// waitForCredit waits before the next round of credit requests. It returns the final response if the budget ends first.
func (x *exchange) waitForCredit(ctx context.Context, wait time.Duration) *outcome.Error {
	deadline, _ := ctx.Deadline()
	if time.Until(deadline) <= wait {
		return x.endWithoutCredit(ctx, x.refusals.lastReason)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return x.endWithoutCredit(ctx, x.refusals.lastReason)
	}
}

// creditRequest returns the credit request for a dispatch of the request to an endpoint.
func (x *exchange) creditRequest(ctx context.Context, endpoint, part string) peer.CreditRequest {
	deadline, _ := ctx.Deadline()
	id := x.id
	id.Part = part
	request := x.routeRequest()
	return peer.CreditRequest{
		RequestID:    id.String(),
		Endpoint:     endpoint,
		Team:         x.req.Team,
		Profile:      x.profile.Name,
		Class:        x.class,
		PromptTokens: request.PromptTokens,
		OutputTokens: request.OutputTokens,
		Revision:     x.view.index.Revision(),
		BudgetLeft:   time.Until(deadline),
	}
}

// reserveAt requests a credit for one endpoint. It returns nil if none was granted.
func (x *exchange) reserveAt(ctx context.Context, endpoint *config.Endpoint, choice route.Choice) *grantedCredit {
	x.creditRequests++
	return x.requestCredit(ctx, endpoint, x.creditRequest(ctx, endpoint.Name, partName(x.creditRequests)), choice)
}

// requestCredit sends a credit request to the endpoint's owner and logs the result.
func (x *exchange) requestCredit(
	ctx context.Context, endpoint *config.Endpoint, request peer.CreditRequest, choice route.Choice,
) *grantedCredit {
	granted, reason, retryAfter := x.gateway.credits.reserve(ctx, endpoint, request)
	if granted == nil && ctx.Err() != nil {
		// The request ended before the owner replied, which is no refusal by the owner.
		reason = x.refusals.lastReason
	}
	event := x.log.Info().Str("endpoint", endpoint.Name).Str("part", request.RequestID).Str("team", request.Team).
		Str("profile", request.Profile).Str("class", string(request.Class)).Int64("prompt_tokens", request.PromptTokens).
		Int64("output_tokens", request.OutputTokens).Uint64("revision", request.Revision).Str("choice", choice.Reason).
		Dur("expected_wait_ms", choice.Wait).Str("state", string(choice.State)).Int64("free_tokens", choice.FreeTokens).
		Int("free_streams", choice.FreeStreams).Int("long_prefills", choice.LongPrefills).
		Int64("cached_tokens", choice.CachedTokens).Dur("view_age_ms", choice.Age).Bool("granted", granted != nil)
	if granted == nil {
		x.refusals.add(time.Now(), endpoint.Name, reason, retryAfter)
		event = event.Str("reason", reason).Dur("retry_after_ms", retryAfter)
	} else {
		event = event.Int64("fence", granted.reply.Fence)
	}
	event.Msg("route")
	return granted
}
