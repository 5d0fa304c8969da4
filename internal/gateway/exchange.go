package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/callers"
	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

// exchange is one caller's request from admission to its final response.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	log     zerolog.Logger
	id      peer.RequestID
	started time.Time

	req      *callers.Request
	view     *view
	profile  *config.Profile
	service  *config.Service
	class    peer.LengthClass
	budget   time.Duration
	refusals *refusals
	// creditRequests counts the credit requests; the part of each request ID is derived from it.
	creditRequests int
	// responseStatus is the HTTP status of the endpoint's own response.
	responseStatus int
	// firstTokenAt is the time at which the first bytes of the response body arrived, or zero before that.
	firstTokenAt time.Time
	// headSent is true once a part of the response may have been sent to the caller.
	headSent bool
	// sentTail holds the last bytes sent to the caller, at most maxSeparatorBytes.
	sentTail []byte
	// stage is the latest stage that the request reached.
	stage outcome.Stage
	// mayHaveRun is true once an attempt may have sent a byte to an endpoint that did not refuse the request.
	mayHaveRun bool
	// mayStillRun is true once such an attempt failed before the endpoint ended its response.
	mayStillRun bool
}

func (g *Gateway) serveHTTP(w http.ResponseWriter, r *http.Request) {
	g.stats.requests.Add(1)
	g.stats.openRequests.Add(1)
	defer g.stats.openRequests.Add(-1)
	x := &exchange{
		gateway: g, w: w, id: g.nextRequestID(), started: time.Now(), stage: outcome.StageAdmission, refusals: newRefusals(),
	}
	x.log = g.log.With().Str("request_id", x.id.String()).Logger()
	if final := x.run(r); final != nil {
		x.respond(final)
	}
}

// run serves the request. It returns the final response, or nil if the endpoint's own response was forwarded.
func (x *exchange) run(r *http.Request) *outcome.Error {
	if refusal := x.admit(r); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.started.Add(x.budget))
	defer cancel()
	if x.idempotent() || x.req.Key == "" {
		return x.serve(ctx)
	}
	return x.serveKeyed(ctx)
}

// idempotent reports whether it is safe to run the request more than once.
func (x *exchange) idempotent() bool {
	if x.req.Kind != callers.KindService || x.profile.Idempotent {
		return true
	}
	switch x.req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// serve reserves capacity and dispatches the request, and retries until a response is complete or the outcome is final.
func (x *exchange) serve(ctx context.Context) *outcome.Error {
	switch size := x.groupSize(); size {
	case 0:
		return promptTooLarge()
	case 1:
	default:
		x.stage = outcome.StageCreditWait
		return x.serveGroup(ctx, size)
	}
	x.stage = outcome.StageCreditWait
	if x.gateway.settings.Uncontrolled && x.service.Kind == config.KindModel {
		return x.serveUncontrolled(ctx)
	}
	for {
		granted, refusal := x.reserve(ctx)
		if refusal != nil {
			return refusal
		}
		final, retry := x.dispatch(ctx, granted)
		if !retry {
			return final
		}
	}
}

// endWithoutCredit returns the final response of a request that got no further credit. If an earlier attempt may have run,
// the outcome is unknown.
func (x *exchange) endWithoutCredit(ctx context.Context, reason string) *outcome.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = codeCallerLeft
	}
	if x.mayHaveRun {
		return x.unknownOutcome("retry_without_capacity", "an earlier attempt may have run, and no endpoint accepted a retry")
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageCreditWait, reason,
		"no endpoint accepted the request within its time budget", time.Second)
}
