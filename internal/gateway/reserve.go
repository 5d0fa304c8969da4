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
	// minCreditWait and maxCreditWait bound the time between two rounds of asks of one request.
	minCreditWait = 5 * time.Millisecond
	maxCreditWait = 250 * time.Millisecond
	// defaultRefusalWait is the time for which an endpoint is not asked again if its owner gave no hint.
	defaultRefusalWait = 50 * time.Millisecond
	// maxAsksPerRound bounds the messages of one request while all endpoints are full.
	maxAsksPerRound = 4
)

// refusals holds the endpoints that refused a request, until they may be asked again.
type refusals struct {
	reasons route.Refusals
	until   map[string]time.Time
	last    string
}

func newRefusals() *refusals {
	return &refusals{reasons: make(route.Refusals), until: make(map[string]time.Time), last: "no_endpoint"}
}

func (r *refusals) add(now time.Time, endpoint, reason string, retry time.Duration) {
	if retry <= 0 {
		retry = defaultRefusalWait
	}
	r.reasons[endpoint] = reason
	r.until[endpoint] = now.Add(retry)
	r.last = reason
}

// clear forgets the refusals but not the last reason.
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

// wait returns the time until the first endpoint may be asked again.
func (r *refusals) wait(now time.Time) time.Duration {
	wait := maxCreditWait
	for _, until := range r.until {
		wait = min(wait, until.Sub(now))
	}
	return max(wait, minCreditWait)
}

// onlyBudget tells whether every endpoint that was asked answered that the request cannot meet its budget there.
func (r *refusals) onlyBudget() bool {
	for _, reason := range r.reasons {
		if reason != credit.ReasonBudget {
			return false
		}
	}
	return len(r.reasons) > 0
}

// reserve asks owners in the policy's order until one grants a credit.
func (x *exchange) reserve(ctx context.Context) (*credited, *outcome.Error) {
	for {
		if ctx.Err() != nil {
			return nil, x.giveUp(ctx, x.refused.last)
		}
		x.refused.prune(time.Now())
		latest := x.gateway.views.current.Load()
		decision := x.gateway.router.order(x.routeRequest(), x.candidates(latest), x.refused.reasons)
		asks := min(len(decision.Choices), maxAsksPerRound)
		for _, choice := range decision.Choices[:asks] {
			granted := x.askOwner(ctx, latest.index.Endpoint(choice.Endpoint), choice)
			if granted != nil {
				return granted, nil
			}
		}
		if asks == len(decision.Choices) && x.refused.onlyBudget() {
			return nil, x.giveUp(ctx, credit.ReasonBudget)
		}
		if asks < len(decision.Choices) {
			continue
		}
		if asks == 0 && len(decision.Skipped) > 0 && len(x.refused.reasons) == 0 {
			x.refused.last = decision.Skipped[0].Reason
		}
		if final := x.waitForCredit(ctx, x.gateway.jitter(x.refused.wait(time.Now()))); final != nil {
			return nil, final
		}
	}
}

// waitForCredit returns the final answer if the request cannot be granted a credit within its budget.
func (x *exchange) waitForCredit(ctx context.Context, wait time.Duration) *outcome.Error {
	deadline, _ := ctx.Deadline()
	if time.Until(deadline) <= wait {
		return x.giveUp(ctx, x.refused.last)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return x.giveUp(ctx, x.refused.last)
	}
}

// creditAsk returns the ask for a dispatch of the request to an endpoint.
func (x *exchange) creditAsk(ctx context.Context, endpoint, part string) peer.CreditRequest {
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

// askOwner asks for one endpoint and logs the decision; nil means that the ask was refused.
func (x *exchange) askOwner(ctx context.Context, endpoint *config.Endpoint, choice route.Choice) *credited {
	x.asks++
	return x.ask(ctx, endpoint, x.creditAsk(ctx, endpoint.Name, partName(x.asks)), choice)
}

func (x *exchange) ask(
	ctx context.Context, endpoint *config.Endpoint, ask peer.CreditRequest, choice route.Choice,
) *credited {
	granted, reason, retry := x.gateway.held.ask(ctx, endpoint, ask)
	if granted == nil && ctx.Err() != nil {
		// The request ended first, which says nothing about the owner.
		reason = x.refused.last
	}
	event := x.log.Info().Str("endpoint", endpoint.Name).Str("part", ask.RequestID).Str("team", ask.Team).
		Str("profile", ask.Profile).Str("class", string(ask.Class)).Int64("prompt_tokens", ask.PromptTokens).
		Int64("output_tokens", ask.OutputTokens).Uint64("revision", ask.Revision).Str("choice", choice.Reason).
		Dur("expected_wait_ms", choice.Wait).Str("state", string(choice.State)).Int64("free_tokens", choice.FreeTokens).
		Int("free_streams", choice.FreeStreams).Int("long_prefills", choice.LongPrefills).
		Int64("cached_tokens", choice.CachedTokens).Dur("view_age_ms", choice.Age).Bool("granted", granted != nil)
	if granted == nil {
		x.refused.add(time.Now(), endpoint.Name, reason, retry)
		event = event.Str("reason", reason).Dur("retry_after_ms", retry)
	} else {
		event = event.Int64("fence", granted.reply.Fence)
	}
	event.Msg("route")
	return granted
}
