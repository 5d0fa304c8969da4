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

// exchange is one caller's request from admission to its final answer.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	log     zerolog.Logger
	id      peer.RequestID
	started time.Time

	req     *callers.Request
	view    *view
	profile *config.Profile
	service *config.Service
	class   peer.LengthClass
	budget  time.Duration
	refused *refusals
	// asks counts the credit asks; the part of a dispatch's id derives from it.
	asks int
	// answerStatus is the HTTP status of the endpoint's own answer.
	answerStatus int
	// firstToken is the time of the first part of the answer's body; zero before.
	firstToken time.Time
	// headSent is true once a byte of the answer went to the caller.
	headSent bool
	// sentEnd is the end of what went to the caller of a stream.
	sentEnd []byte
	// stage is the last stage reached.
	stage outcome.Stage
	// bytesSent is true once a byte was handed to an endpoint in an attempt whose result is not known to be "not run".
	bytesSent bool
	// endUnknown is true once such an attempt ended without the endpoint's own end or error: it may still run.
	endUnknown bool
}

func (g *Gateway) serveHTTP(w http.ResponseWriter, r *http.Request) {
	g.stats.requests.Add(1)
	g.stats.open.Add(1)
	defer g.stats.open.Add(-1)
	x := &exchange{gateway: g, w: w, id: g.nextRequestID(), started: time.Now(), stage: outcome.StageAdmission, refused: newRefusals()}
	x.log = g.log.With().Str("request_id", x.id.String()).Logger()
	if final := x.run(r); final != nil {
		x.answer(final)
	}
}

// run serves the request; it returns the final answer if the endpoint's own was not passed on.
func (x *exchange) run(r *http.Request) *outcome.Error {
	if refused := x.admit(r); refused != nil {
		return refused
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.started.Add(x.budget))
	defer cancel()
	if x.idempotent() || x.req.Key == "" {
		return x.serve(ctx)
	}
	return x.serveKeyed(ctx)
}

// idempotent tells whether the request may run more than once.
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

// serve reserves capacity and hands the request over until an answer is complete or the outcome is decided.
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
		granted, refused := x.reserve(ctx)
		if refused != nil {
			return refused
		}
		final, again := x.handOver(ctx, granted)
		if !again {
			return final
		}
	}
}

// giveUp ends a request for which no credit was granted. A dispatch that came before decides the outcome.
func (x *exchange) giveUp(ctx context.Context, reason string) *outcome.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = codeCallerLeft
	}
	if x.bytesSent {
		return x.unknown("retry_without_capacity", "an earlier attempt may have run and no endpoint could take another one")
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageCreditWait, reason,
		"no endpoint could take the request within its time budget", time.Second)
}
