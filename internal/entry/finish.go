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

// succeed ends the call with an endpoint's answer.
func (x *exchange) succeed(e *fleet.Endpoint, r *relay) {
	x.handler.options.Health.Success(e.Key(), time.Now())
	if r.streaming && !x.started {
		if err := x.sendEvents(r.header, nil); err != nil {
			x.abort("caller_write_failed")
			return
		}
	}
	if !r.streaming {
		r.onFirst()
		if err := r.sendWhole(x.w); err != nil {
			x.abort("caller_write_failed")
			return
		}
	}
	x.logEnd("passed_on", r.status, "")
}

// finishFailed ends a call for which no further attempt is allowed.
func (x *exchange) finishFailed() {
	switch {
	case x.started:
		x.abort("stream_cut")
	case x.answer != nil:
		if err := x.answer.sendWhole(x.w); err != nil {
			x.abort("caller_write_failed")
			return
		}
		x.logEnd("passed_on", x.answer.status, "")
	case x.mayHaveRun:
		x.end(failed(
			http.StatusBadGateway, outcome.StagePrefill, codeEndpointFailed, "the endpoint failed", x.profile.Retryable(),
		))
	default:
		x.end(refuseUnavailable(outcome.StageConnect, codeNotRun, "no endpoint took the request", notRunRetryAfter))
	}
}

// giveUp ends a call that could not be placed.
func (x *exchange) giveUp(ctx context.Context, refusal *placement.Refusal) {
	x.logUnplaced(refusal)
	switch {
	case ctx.Err() != nil:
		x.expire(ctx)
	case x.mayHaveRun || x.started:
		x.finishFailed()
	case refusal.Reason == placement.TooLarge:
		x.end(refuseUnavailable(outcome.StageAdmission, codeTooLarge, "the prompt exceeds an engine's memory", refusal.RetryAfter))
	case refusal.Reason == placement.NoEndpoint:
		x.end(refuseUnavailable(outcome.StageAdmission, codeNoEndpoint, "no endpoint is in service", refusal.RetryAfter))
	default:
		x.end(refuseUnavailable(outcome.StageAdmission, codeOverloaded, string(refusal.Reason), refusal.RetryAfter))
	}
}

// expire ends a call whose time is over or whose caller has left.
func (x *exchange) expire(ctx context.Context) {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.logEnd("caller_left", 0, "")
	case x.started:
		x.abort(codeTimeLimit)
	case x.sent > 0:
		x.end(failed(
			http.StatusGatewayTimeout, outcome.StagePrefill, codeTimeLimit, "the time of the request is over",
			x.profile.Retryable(),
		))
	default:
		x.end(refuseUnavailable(outcome.StageAdmission, codeTimeLimit, "the time of the request is over", notRunRetryAfter))
	}
}

// end answers the call with an error of this instance.
func (x *exchange) end(e *outcome.Error) {
	e.RequestID = x.call.ID
	x.handler.options.Protocol.SetCallID(x.call.ID, x.w.Header())
	e.WriteMillisecondsTo(x.w)
	x.logEnd(string(e.Outcome), e.Status, e.Code)
}

// abort resets the caller's connection, so that a cut answer cannot look whole.
func (x *exchange) abort(code string) {
	httpserver.Abort(x.w)
	x.logEnd("cut", 0, code)
}
