package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/placement"
)

// succeed ends the call with an endpoint's response.
func (x *exchange) succeed(e *fleet.Endpoint, r *relay) {
	x.handler.options.Health.Success(e.Key(), time.Now())
	if !r.isEstablished && r.showsSound() {
		x.observeServed()
	}
	if r.streaming && !x.streamStarted {
		if err := x.sendEvents(r.header, nil); err != nil {
			x.abort("caller_write_failed")
			return
		}
	}
	if !r.streaming {
		r.onEvents()
		if err := r.sendBuffered(x.w); err != nil {
			x.abort("caller_write_failed")
			return
		}
	}
	x.logEnd("passed_on", r.status, "")
}

// finishFailed ends a call after its last failed attempt.
func (x *exchange) finishFailed() {
	switch {
	case x.streamStarted:
		x.abort("stream_cut")
	case x.failureResponse != nil:
		if err := x.failureResponse.sendBuffered(x.w); err != nil {
			x.abort("caller_write_failed")
			return
		}
		x.logEnd("passed_on", x.failureResponse.status, "")
	case x.mayHaveRun:
		x.endWithError(unknownOutcome(
			http.StatusBadGateway, outcome.StagePrefill, codeEndpointFailed, "the endpoint failed", x.profile.Retryable(),
		))
	default:
		x.endWithError(refuseUnavailable(outcome.StageConnect, codeEndpointRefused, "no endpoint accepted the request", x.notRunDelay(time.Now())))
	}
}

// endUnplaced ends a call for which no endpoint was chosen.
func (x *exchange) endUnplaced(ctx context.Context, refusal *placement.Refusal) {
	if ctx.Err() == nil && !x.mayHaveRun && !x.streamStarted {
		x.tellReturn(refusal, time.Now())
	}
	x.logUnplaced(refusal)
	switch {
	case ctx.Err() != nil:
		x.endCancelled(ctx)
	case x.mayHaveRun || x.streamStarted:
		x.finishFailed()
	case refusal.Reason == placement.TooLarge:
		x.endWithError(refuseUnavailable(outcome.StageAdmission, codeTooLarge, "the prompt exceeds the memory of an engine", refusal.RetryAfter))
	case refusal.Reason == placement.NoEndpoint:
		x.endWithError(refuseUnavailable(outcome.StageAdmission, codeNoEndpoint, "no endpoint is in service", refusal.RetryAfter))
	default:
		x.endWithError(refuseUnavailable(outcome.StageAdmission, codeOverloaded, string(refusal.Reason), refusal.RetryAfter))
	}
}

// endCancelled ends a call whose time limit is exceeded, whose caller has disconnected, whose prompt has a part in quarantine, or
// that still runs at the end of a graceful shutdown.
func (x *exchange) endCancelled(ctx context.Context) {
	cause := context.Cause(ctx)
	var quarantined *quarantineError
	switch {
	case errors.As(cause, &quarantined):
		x.endQuarantined(quarantined)
	case errors.Is(cause, errShutdownEnds):
		x.endOutOfTime(codeStopping, "the instance is shutting down", stoppingRetryAfter)
	case errors.Is(cause, context.DeadlineExceeded):
		x.endOutOfTime(codeTimeLimit, "the time limit of the request was exceeded", notRunRetryAfter)
	default:
		x.logEnd("caller_left", 0, "")
	}
}

// endOutOfTime ends a call for which no time is left.
func (x *exchange) endOutOfTime(code, message string, retryAfter time.Duration) {
	switch {
	case x.streamStarted:
		x.abort(code)
	case x.sent > 0:
		x.endWithError(unknownOutcome(http.StatusGatewayTimeout, outcome.StagePrefill, code, message, x.profile.Retryable()))
	default:
		x.endWithError(refuseUnavailable(outcome.StageAdmission, code, message, retryAfter))
	}
}

// endWithError ends the call with an error response of this instance.
func (x *exchange) endWithError(e *outcome.Error) {
	e.RequestID = x.call.ID
	x.handler.options.Protocol.SetCallID(x.call.ID, x.w.Header())
	e.WriteMillisecondsTo(x.w)
	x.logEnd(string(e.Outcome), e.Status, e.Code)
}

// abort resets the caller's connection, because a truncated response must not look complete.
func (x *exchange) abort(code string) {
	httpserver.Abort(x.w)
	x.logEnd("cut", 0, code)
}
