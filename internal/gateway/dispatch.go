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
	errCreditExpired  = errors.New("credit expired before the hand-over")
	errRefused        = errors.New("endpoint refused the request")
	errCallerLeft     = errors.New("caller left")
	errIncompleteBody = errors.New("answer ended without its terminal event")
	errAnswerTooLarge = errors.New("answer is larger than the gateway buffers")
)

// silentAfter is the time after the dispatch from which a passed deadline speaks against the endpoint.
const silentAfter = 5 * time.Second

// handOver sends the request to the granted endpoint. again is true if another endpoint may be tried.
func (x *exchange) handOver(ctx context.Context, granted *credited) (final *outcome.Error, again bool) {
	x.stage = outcome.StageConnect
	endpoint := granted.endpoint
	receiver := &answerReceiver{ctx: ctx, x: x, granted: granted, sent: time.Now()}
	err := x.gateway.engines.Do(ctx, x.engineRequest(endpoint, granted), x.startAnswer(receiver), receiver)
	if err == nil {
		err = receiver.complete()
	}
	x.reportEnd(ctx, granted, receiver, err)
	if receiver.whole {
		// A caller that left before it had the whole answer does not change that the request ended at the endpoint.
		x.answerStatus = receiver.status
		x.logAnswered(endpoint.Name, receiver, err)
		return nil, false
	}
	return x.judge(ctx, endpoint.Name, receiver, err)
}

// startCredit returns the check that runs immediately before the first byte is written.
func (x *exchange) startCredit(granted *credited) func() error {
	return func() error {
		if !granted.usable(time.Now()) {
			return errCreditExpired
		}
		x.gateway.held.progress(granted, peer.ReportStarted, 0)
		return nil
	}
}

// startAnswer is startCredit for the dispatch whose answer goes to the caller.
func (x *exchange) startAnswer(receiver *answerReceiver) func() error {
	start := x.startCredit(receiver.granted)
	return func() error {
		if err := start(); err != nil {
			return err
		}
		x.stage = outcome.StagePrefill
		receiver.sent = time.Now()
		return nil
	}
}

// notSent tells whether an exchange provably sent no byte.
func notSent(err error) bool {
	var failure *engine.Error
	return errors.As(err, &failure) && !failure.BytesSent
}

func (x *exchange) engineRequest(endpoint *config.Endpoint, granted *credited) engine.Request {
	header := make(http.Header)
	header.Set("X-Request-Id", granted.ask.RequestID)
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

// The engine priorities by length class, and the shares of its budget after which a request is raised by one.
const (
	priorityShort  = 2
	priorityMedium = 1
	priorityLong   = 0
	firstRaise     = 0.25
	secondRaise    = 0.5
)

func (x *exchange) priority() string {
	return strconv.Itoa(priority(x.class, time.Since(x.started), x.budget))
}

// priority puts short prompts first. A request that has waited for a good part of its budget rises, so that long prompts
// meet their budgets beside a steady load of short ones.
func priority(class peer.LengthClass, waited, budget time.Duration) int {
	p := priorityLong
	switch class {
	case peer.ClassShort:
		p = priorityShort
	case peer.ClassMedium:
		p = priorityMedium
	}
	if waited >= time.Duration(float64(budget)*firstRaise) {
		p++
	}
	if waited >= time.Duration(float64(budget)*secondRaise) {
		p++
	}
	return p
}

func (x *exchange) reportEnd(ctx context.Context, granted *credited, receiver *answerReceiver, err error) {
	state := peer.ReportDone
	switch {
	case receiver.whole && receiver.status < http.StatusInternalServerError:
	case notSent(err):
		state = peer.ReportUnused
	case !receiver.whole && callerLeft(ctx, err):
		// The endpoint must not turn cold for a caller that left.
		state = peer.ReportCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(receiver.sent) < x.gateway.silentAfter:
		// A budget that is too short for the request says nothing about the endpoint.
		state = peer.ReportCancelled
	default:
		state = peer.ReportFailed
	}
	x.gateway.held.progress(granted, state, receiver.firstTokenAfter())
}

// judge decides what a failed dispatch means for the request.
func (x *exchange) judge(
	ctx context.Context, endpoint string, receiver *answerReceiver, err error,
) (final *outcome.Error, again bool) {
	sent := !notSent(err)
	notRun := !sent || errors.Is(err, errRefused)
	if !notRun {
		x.bytesSent = true
		x.endUnknown = x.endUnknown || !receiver.endedByEndpoint
	}
	mayRepeat := !x.headSent && ctx.Err() == nil && !errors.Is(err, errAnswerTooLarge) && (notRun || x.idempotent())
	x.log.Warn().Str("endpoint", endpoint).Str("stage", string(x.stage)).Bool("bytes_sent", sent).
		Bool("not_run", notRun).Bool("retry", mayRepeat).Err(err).Msg("hand_over_failed")
	if mayRepeat {
		// Without a pause, an endpoint that fails at once would be asked for again until the deadline.
		x.refused.add(time.Now(), endpoint, failureReason(err, sent), 0)
		x.stage = outcome.StageCreditWait
		return nil, true
	}
	return x.finalAnswer(ctx, receiver, notRun, err), false
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

// callerLeft tells whether the dispatch failed because of the caller.
func callerLeft(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errCallerLeft)
}

func (x *exchange) finalAnswer(
	ctx context.Context, receiver *answerReceiver, notRun bool, err error,
) *outcome.Error {
	switch {
	case notRun && !x.bytesSent && callerLeft(ctx, err):
		return outcome.Refusal(http.StatusServiceUnavailable, x.stage, codeCallerLeft, "the caller left", 0)
	case notRun && !x.bytesSent:
		return outcome.Refusal(http.StatusServiceUnavailable, x.stage, "endpoint_unavailable",
			"no endpoint started the request", time.Second)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return x.unknown(codeDeadline, "the time budget ended before the answer was complete")
	case callerLeft(ctx, err):
		return x.unknown(codeCallerLeft, "the caller left before the answer was complete")
	case errors.Is(err, errAnswerTooLarge):
		return x.unknown("answer_too_large", "the endpoint's answer is larger than the gateway buffers")
	case receiver.endedByEndpoint && !x.endUnknown:
		return &outcome.Error{
			Outcome: outcome.Failed, Stage: x.stage, Code: "endpoint_failed", Status: http.StatusBadGateway,
			Message: "the endpoint ended the request with an error", RetrySafe: x.idempotent(),
		}
	default:
		return x.unknown(codeEndpointLost, "the connection to the endpoint broke before the answer was complete")
	}
}
