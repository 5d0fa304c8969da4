package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialift/acacialift/internal/callers"
	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

var (
	errCreditExpired    = errors.New("credit expired before the dispatch")
	errRefused          = errors.New("endpoint refused the request")
	errCallerLeft       = errors.New("caller closed its connection")
	errIncompleteBody   = errors.New("response ended without its terminal event")
	errResponseTooLarge = errors.New("response is larger than the gateway's buffer limit")
)

// unresponsiveAfter is the time after the dispatch from which a missed deadline is a failure of the endpoint.
const unresponsiveAfter = 5 * time.Second

// dispatch sends the request to the endpoint of the granted credit. retry is true if another attempt may be made.
func (x *exchange) dispatch(ctx context.Context, granted *grantedCredit) (final *outcome.Error, retry bool) {
	x.stage = outcome.StageConnect
	endpoint := granted.endpoint
	receiver := &responseReceiver{ctx: ctx, x: x, granted: granted, sentAt: time.Now()}
	err := x.gateway.engines.Do(ctx, x.engineRequest(endpoint, granted), x.startDispatch(receiver), receiver)
	if err == nil {
		err = receiver.finish()
	}
	x.reportEnd(ctx, granted, receiver, err)
	if receiver.complete {
		// The request ended at the endpoint, even if the caller closed its connection before it received the whole response.
		x.responseStatus = receiver.status
		x.logAnswered(endpoint.Name, receiver, err)
		return nil, false
	}
	return x.resolveFailure(ctx, endpoint.Name, receiver, err)
}

// startCredit returns the function that is called immediately before the first byte is sent. That function returns an error
// if the credit has expired. Otherwise, it reports the credit as started.
func (x *exchange) startCredit(granted *grantedCredit) func() error {
	return func() error {
		if !granted.usable(time.Now()) {
			return errCreditExpired
		}
		x.gateway.credits.reportState(granted, peer.ReportStarted, 0)
		return nil
	}
}

// startDispatch is startCredit for the dispatch whose response is forwarded to the caller.
func (x *exchange) startDispatch(receiver *responseReceiver) func() error {
	start := x.startCredit(receiver.granted)
	return func() error {
		if err := start(); err != nil {
			return err
		}
		x.stage = outcome.StagePrefill
		receiver.sentAt = time.Now()
		return nil
	}
}

// notSent reports whether the failed attempt is known to have sent no byte.
func notSent(err error) bool {
	var failure *engine.Error
	return errors.As(err, &failure) && !failure.BytesSent
}

func (x *exchange) engineRequest(endpoint *config.Endpoint, granted *grantedCredit) engine.Request {
	header := make(http.Header)
	header.Set("X-Request-Id", granted.request.RequestID)
	header.Set("Content-Type", "application/json")
	if x.req.Key != "" {
		header.Set("Idempotency-Key", x.req.Key)
	}
	req := engine.Request{
		Method: x.req.Method, Address: endpoint.Address, Header: header, Body: x.req.Body, Target: x.req.ServicePath,
	}
	if x.service.Kind == config.KindModel {
		req.Target = "/v1/completions"
		if x.req.Kind == callers.KindChat {
			req.Target = "/v1/chat/completions"
		}
		header.Set("X-Priority", x.priority())
		if granted.reply.Fence > 0 {
			header.Set("X-Fence", strconv.FormatInt(granted.reply.Fence, 10))
		}
	}
	return req
}

// Engine priorities by length class, and the fractions of the budget after which a request's priority is raised by one.
const (
	priorityShort       = 2
	priorityMedium      = 1
	priorityLong        = 0
	firstRaiseFraction  = 0.25
	secondRaiseFraction = 0.5
)

func (x *exchange) priority() string {
	return strconv.Itoa(priority(x.class, time.Since(x.started), x.budget))
}

// priority favors short prompts. It rises with the used fraction of the budget, because long prompts would otherwise miss
// their budgets under a steady load of short prompts.
func priority(class peer.LengthClass, waited, budget time.Duration) int {
	p := priorityLong
	switch class {
	case peer.ClassShort:
		p = priorityShort
	case peer.ClassMedium:
		p = priorityMedium
	}
	if waited >= time.Duration(float64(budget)*firstRaiseFraction) {
		p++
	}
	if waited >= time.Duration(float64(budget)*secondRaiseFraction) {
		p++
	}
	return p
}

func (x *exchange) reportEnd(ctx context.Context, granted *grantedCredit, receiver *responseReceiver, err error) {
	state := peer.ReportDone
	switch {
	case receiver.complete && receiver.status < http.StatusInternalServerError:
	case notSent(err):
		state = peer.ReportUnused
	case !receiver.complete && callerLeft(ctx, err):
		// A failure report would make the endpoint cold, although the caller closed its connection.
		state = peer.ReportCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(receiver.sentAt) < x.gateway.unresponsiveAfter:
		// The budget may have been too short for the request, which is no failure of the endpoint.
		state = peer.ReportCancelled
	default:
		state = peer.ReportFailed
	}
	x.gateway.credits.reportState(granted, state, receiver.firstTokenLatency())
}

// resolveFailure allows a retry after a failed dispatch, or returns the final response.
func (x *exchange) resolveFailure(
	ctx context.Context, endpoint string, receiver *responseReceiver, err error,
) (final *outcome.Error, retry bool) {
	sent := !notSent(err)
	notRun := !sent || errors.Is(err, errRefused)
	if !notRun {
		x.mayHaveRun = true
		x.mayStillRun = x.mayStillRun || !receiver.endedByEndpoint
	}
	retryAllowed := !x.headSent && ctx.Err() == nil && !errors.Is(err, errResponseTooLarge) && (notRun || x.idempotent())
	x.log.Warn().Str("endpoint", endpoint).Str("stage", string(x.stage)).Bool("bytes_sent", sent).
		Bool("not_run", notRun).Bool("retry", retryAllowed).Err(err).Msg("hand_over_failed")
	if retryAllowed {
		// The refusal delays the next attempt. Without a delay, an endpoint that fails immediately would be tried in a tight
		// loop until the deadline.
		x.refusals.add(time.Now(), endpoint, failureReason(err, sent), 0)
		x.stage = outcome.StageCreditWait
		return nil, true
	}
	return x.failureResponse(ctx, receiver, notRun, err), false
}

func failureReason(err error, sent bool) string {
	switch {
	case errors.Is(err, errCreditExpired):
		return "credit_expired"
	case errors.Is(err, errRefused):
		return reasonEndpointRefused
	case !sent:
		return "connect_failed"
	default:
		return codeEndpointLost
	}
}

// callerLeft reports whether the dispatch failed because the caller closed its connection.
func callerLeft(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errCallerLeft)
}

func (x *exchange) failureResponse(
	ctx context.Context, receiver *responseReceiver, notRun bool, err error,
) *outcome.Error {
	switch {
	case notRun && !x.mayHaveRun && callerLeft(ctx, err):
		return outcome.Refusal(http.StatusServiceUnavailable, x.stage, codeCallerLeft, "the caller closed its connection", 0)
	case notRun && !x.mayHaveRun:
		return outcome.Refusal(http.StatusServiceUnavailable, x.stage, "endpoint_unavailable",
			"no endpoint started the request", time.Second)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return x.unknownOutcome(codeDeadline, "the time budget ended before the response was complete")
	case callerLeft(ctx, err):
		return x.unknownOutcome(codeCallerLeft, "the caller closed its connection before the response was complete")
	case errors.Is(err, errResponseTooLarge):
		return x.unknownOutcome("answer_too_large", "the endpoint's response is larger than the gateway's buffer limit")
	case receiver.endedByEndpoint && !x.mayStillRun:
		return &outcome.Error{
			Outcome: outcome.Failed, Stage: x.stage, Code: "endpoint_failed", Status: http.StatusBadGateway,
			Message: "the endpoint ended the request with an error", RetrySafe: x.idempotent(),
		}
	default:
		return x.unknownOutcome(codeEndpointLost, "the connection to the endpoint failed before the response was complete")
	}
}
