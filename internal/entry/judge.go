package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

// judge decides what follows an attempt. It returns true if another attempt is to follow.
func (x *exchange) judge(ctx context.Context, e *fleet.Endpoint, r *relay, err error) bool {
	x.tried[e.ID] = true
	switch {
	case ctx.Err() != nil:
		x.expire(ctx)
		return false
	case err != nil:
		return x.judgeError(e, err)
	case r.judgement.Verdict == NotRun, r.judgement.Verdict == Misdirected:
		return x.judgeNotRun(e, r)
	case r.judgement.Verdict != Accepted:
		return x.judgeFailure(e, r.judgement.Reason)
	case r.streaming && x.events.isWhole():
		x.succeed(e, r)
		return false
	case r.streaming:
		return x.judgeFailure(e, "stream_cut_in_event")
	case promisesNotRun(r.status):
		return x.judgeFailure(e, "unconfirmed_status_"+strconv.Itoa(r.status))
	}
	return x.judgeWhole(e, r)
}

// promisesNotRun reports whether callers read a status as "not run, and never will be". An endpoint that gives one without
// its own word for that may have run the request, so such an answer is not passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// judgeError handles an attempt without a whole answer.
func (x *exchange) judgeError(e *fleet.Endpoint, err error) bool {
	var failure *engine.Error
	switch {
	case errors.Is(err, errCallerWrite):
		x.abort("caller_write_failed")
		return false
	case errors.Is(err, errWithdrawn):
		return true
	case errors.As(err, &failure) && !failure.BytesSent:
		if x.handler.options.Health.Unreachable(e.Key(), time.Now()) {
			x.logSuspect(e, err.Error())
		}
		x.unreachable++
		if x.unreachable <= maxUnreachable {
			return true
		}
		x.finishFailed()
		return false
	}
	return x.judgeFailure(e, err.Error())
}

// judgeFailure handles an attempt after which the call may have run.
func (x *exchange) judgeFailure(e *fleet.Endpoint, reason string) bool {
	x.mayHaveRun = true
	x.events.restart()
	if x.handler.options.Health.Failure(e.Key(), time.Now()) {
		x.logSuspect(e, reason)
	}
	if x.profile.Retryable() && x.mayRepeat(e, reason) {
		return true
	}
	x.finishFailed()
	return false
}

// judgeNotRun handles a typed refusal of an endpoint.
func (x *exchange) judgeNotRun(e *fleet.Endpoint, r *relay) bool {
	culprit := x.culprit(r.judgement.FaultyAddress)
	if culprit == nil && r.judgement.Verdict == Misdirected {
		culprit = e
	}
	if culprit != nil {
		x.tried[culprit.ID] = true
		if x.handler.options.Health.Unreachable(culprit.Key(), time.Now()) {
			x.logSuspect(culprit, r.judgement.Reason)
		}
	}
	if x.mayRepeat(e, r.judgement.Reason) {
		return true
	}
	x.finishFailed()
	return false
}

// heed takes over what an endpoint says of itself.
func (x *exchange) heed(e *fleet.Endpoint, advice EndpointStatus) {
	if advice.Leaving && x.handler.options.State.MarkLeaving(e) {
		x.handler.options.Log.Info().Str("request_id", x.call.ID).Str("endpoint", e.ID).Msg("endpoint_leaving")
	}
	if advice.BackOff > 0 {
		x.handler.options.Health.BackOff(e.Key(), time.Now().Add(advice.BackOff))
		x.handler.options.Log.Info().Str("request_id", x.call.ID).Str("endpoint", e.ID).Dur("rest_ms", advice.BackOff).
			Msg("endpoint_rests")
	}
}

// culprit returns the endpoint at an address that another endpoint names as the one at fault, or nil.
func (x *exchange) culprit(address string) *fleet.Endpoint {
	if address == "" {
		return nil
	}
	for _, e := range x.handler.options.State.Snapshot().Endpoints[x.service.Name] {
		if e.Address == address {
			return e
		}
	}
	return nil
}

// judgeWhole handles a whole answer that was held.
func (x *exchange) judgeWhole(e *fleet.Endpoint, r *relay) bool {
	now := time.Now()
	if r.status < http.StatusInternalServerError {
		x.handler.options.Health.Success(e.Key(), now)
		x.succeed(e, r)
		return false
	}
	x.mayHaveRun = true
	x.answer = r
	if x.handler.options.Health.Failure(e.Key(), now) {
		x.logSuspect(e, "status "+strconv.Itoa(r.status))
	}
	if x.profile.Retryable() && x.mayRepeat(e, "status "+strconv.Itoa(r.status)) {
		return true
	}
	x.finishFailed()
	return false
}

// mayRepeat reports whether the profile and the retry budget allow another attempt.
func (x *exchange) mayRepeat(e *fleet.Endpoint, reason string) bool {
	allowed := x.sent < x.profile.Attempts && x.handler.options.RetryBudget.Take(x.service.Name, time.Now())
	x.logRepeat(e, reason, allowed)
	return allowed
}

// judgeNotReserved handles an attempt that failed before the request was sent, because an endpoint had no memory left.
func (x *exchange) judgeNotReserved(ctx context.Context, choice placement.Choice, err error) bool {
	for _, h := range choice.Reservations {
		x.tried[h.Endpoint.ID] = true
	}
	x.logRepeat(choice.Primary, err.Error(), true)
	x.unreachable++
	switch {
	case ctx.Err() != nil:
		x.expire(ctx)
		return false
	case x.unreachable <= maxUnreachable:
		return true
	}
	x.finishFailed()
	return false
}
