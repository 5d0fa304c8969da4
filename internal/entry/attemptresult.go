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
	"github.com/acacialift/acacialift/internal/quarantine"
)

// handleResult processes the end of an attempt. It returns true if the request is to be retried.
func (x *exchange) handleResult(ctx context.Context, e *fleet.Endpoint, r *relay, err error) bool {
	x.tried[e.ID] = true
	if err == nil && r.unframed && r.classification.Verdict == Accepted {
		err = x.confirmEnd(ctx, e, r)
	}
	crashed := x.observeCrash(ctx, e, r, err)
	switch {
	case ctx.Err() != nil:
		x.observeUnanswered(e, r)
		x.mayHaveRun = x.mayHaveRun || !r.sentAt.IsZero() && r.classification.Verdict != NotRun
		x.endCancelled(ctx)
		return false
	case err == nil && crashed:
		return x.handleFailure(e, "response_ended_by_crash")
	case err != nil:
		return x.handleError(e, r, err)
	case r.classification.Verdict == NotRun, r.classification.Verdict == Misdirected:
		return x.handleNotRun(e, r)
	case r.classification.Verdict != Accepted:
		return x.handleFailure(e, r.classification.Reason)
	case r.streaming && x.events.isComplete():
		x.succeed(e, r)
		return false
	case r.streaming:
		return x.handleFailure(e, "stream_cut_in_event")
	case impliesNotRun(r.status):
		return x.handleFailure(e, "unconfirmed_status_"+strconv.Itoa(r.status))
	case x.streamStarted, x.callerResumes() && isSuccess(r.status):
		return x.handleNotResumed(e, r)
	}
	return x.handleBuffered(e, r)
}

// impliesNotRun reports whether callers conclude from a status that the request has not run and will not. An endpoint that
// returns such a status without the typed refusal of the protocol may have run the request, so the response is not
// forwarded.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleError handles an attempt without a complete response.
func (x *exchange) handleError(e *fleet.Endpoint, r *relay, err error) bool {
	var failure *engine.Error
	var unconfirmed *unconfirmedEndError
	switch {
	case errors.As(err, &unconfirmed) && !unconfirmed.finding.hasEnded():
		// The endpoint may be sound.
		return x.retryOrFail(e, err.Error())
	case errors.Is(err, errCallerWrite):
		x.abort("caller_write_failed")
		return false
	case errors.Is(err, errWithdrawn):
		return true
	case errors.As(err, &failure) && !failure.BytesSent:
		return x.handleUnreached(e, r, err)
	}
	return x.handleFailure(e, err.Error())
}

// handleFailure handles a failed attempt in which the call may have run.
func (x *exchange) handleFailure(e *fleet.Endpoint, reason string) bool {
	x.pace.fail()
	if x.handler.options.Health.Failure(e.Key(), time.Now()) {
		x.logSuspect(e, reason)
	}
	return x.retryOrFail(e, reason)
}

// callerResumes reports whether the caller has events of the stream from an earlier request.
func (x *exchange) callerResumes() bool { return x.profile.Resumable && x.call.LastEventID != "" }

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// handleNotResumed handles a complete response that is not an event stream, although the caller has events of the stream already: an
// error, a redirection or a response without content. Nothing of it may follow them, and a success would end the stream as complete. Only a server error counts against the
// endpoint, because another one may be able to resume the stream.
func (x *exchange) handleNotResumed(e *fleet.Endpoint, r *relay) bool {
	reason := "stream_not_resumed_" + strconv.Itoa(r.status)
	if r.status >= http.StatusInternalServerError {
		return x.handleFailure(e, reason)
	}
	return x.retryOrFail(e, reason)
}

// retryOrFail ends an attempt in which the call may have run. It returns true if the call is to be retried.
func (x *exchange) retryOrFail(e *fleet.Endpoint, reason string) bool {
	x.mayHaveRun = true
	x.events.dropPending()
	if x.profile.Retryable() && x.events.canResume() && x.mayRetry(e, reason) {
		return true
	}
	x.finishFailed()
	return false
}

// handleNotRun handles an endpoint's typed refusal: the call has not run there.
func (x *exchange) handleNotRun(e *fleet.Endpoint, r *relay) bool {
	faulty := x.endpointAt(r.classification.FaultyAddress)
	if faulty == nil && r.classification.Verdict == Misdirected {
		faulty = e
	}
	if faulty != nil {
		x.tried[faulty.ID] = true
		if x.handler.options.Health.Unreachable(faulty.Key(), time.Now()) {
			x.logSuspect(faulty, r.classification.Reason)
		}
	}
	if x.mayRetry(e, r.classification.Reason) {
		return true
	}
	x.finishFailed()
	return false
}

// applyStatus records what an endpoint states about itself.
func (x *exchange) applyStatus(e *fleet.Endpoint, status EndpointStatus) {
	if status.Leaving && x.handler.options.State.MarkLeaving(e) {
		x.handler.options.Log.Info().Str("request_id", x.call.ID).Str("endpoint", e.ID).Msg("endpoint_leaving")
	}
	if status.BackOff > 0 {
		x.handler.options.Health.BackOff(e.Key(), time.Now().Add(status.BackOff))
		x.handler.options.Log.Info().Str("request_id", x.call.ID).Str("endpoint", e.ID).Dur("rest_ms", status.BackOff).
			Msg("endpoint_rests")
	}
	if status.InvalidMaxRate != "" {
		x.logInvalidRate(e, status.InvalidMaxRate)
	}
	if status.HasMaxRate && x.handler.options.RateLimiter.Observe(e.Key(), status.MaxRate, time.Now()) {
		x.handler.options.Log.Info().Str("request_id", x.call.ID).Str("endpoint", e.ID).Float64("max_rate", status.MaxRate).
			Msg("endpoint_limited")
	}
}

// maxLoggedStatement bounds what is logged of an invalid statement.
const maxLoggedStatement = 64

// logInvalidRate logs the first invalid request rate of an endpoint, which is ignored.
func (x *exchange) logInvalidRate(e *fleet.Endpoint, stated string) {
	if x.handler.options.RateLimiter.ObserveInvalid(e.Key(), time.Now()) {
		x.handler.options.Log.Warn().Str("request_id", x.call.ID).Str("endpoint", e.ID).
			Str("stated", stated[:min(len(stated), maxLoggedStatement)]).Msg("endpoint_limit_rejected")
	}
}

// observeRateEnd records that a response to a request that was sent at the given time states no request rate.
func (x *exchange) observeRateEnd(e *fleet.Endpoint, sentAt time.Time) {
	if x.handler.options.RateLimiter.ObserveNone(e.Key(), sentAt, time.Now()) {
		x.handler.options.Log.Info().Str("request_id", x.call.ID).Str("endpoint", e.ID).Msg("endpoint_limit_ended")
	}
}

// endpointAt returns the service's endpoint with an address, or nil if there is none.
func (x *exchange) endpointAt(address string) *fleet.Endpoint {
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

// handleBuffered handles a complete buffered response.
func (x *exchange) handleBuffered(e *fleet.Endpoint, r *relay) bool {
	now := time.Now()
	if r.status < http.StatusInternalServerError {
		x.handler.options.Health.Success(e.Key(), now)
		x.succeed(e, r)
		return false
	}
	x.failureResponse = r
	return x.handleFailure(e, "status "+strconv.Itoa(r.status))
}

// mayRetry logs a failed attempt and reports whether the profile, the retry budget and the parts of the prompt allow another
// one. If they do, the next attempt counts as a retry in the budget. A part that may have crashed an endpoint must not reach
// the next one.
func (x *exchange) mayRetry(e *fleet.Endpoint, reason string) bool {
	suspect, isSuspect := x.suspectPart()
	allowed := !isSuspect && x.sent < x.profile.MaxAttempts && x.handler.options.RetryBudget.Take(x.service.Name, time.Now())
	x.logAttemptFailed(e, reason, allowed, suspect)
	return allowed
}

// suspectPart returns a part of the prompt that forbids a retry. After a crash during the events of a stream it must be in quarantine: all
// streams that an endpoint has just begun end with its crash, so that it is weak evidence against a part of one of them.
func (x *exchange) suspectPart() (quarantine.Part, bool) {
	if x.attemptEvents() > 0 {
		return x.handler.options.Quarantine.Quarantined(x.call.Prompt, time.Now())
	}
	return x.handler.options.Quarantine.Suspect(x.call.Prompt, time.Now())
}

// handleNotReserved handles an attempt that ended before the request was sent, because a reservation of memory failed.
func (x *exchange) handleNotReserved(ctx context.Context, choice placement.Choice, err error) bool {
	for _, r := range choice.Reservations {
		x.tried[r.Endpoint.ID] = true
	}
	x.logAttemptFailed(choice.Primary, err.Error(), true, 0)
	x.unreachable++
	switch {
	case ctx.Err() != nil:
		x.endCancelled(ctx)
		return false
	case x.unreachable <= maxUnreachable:
		return true
	}
	x.finishFailed()
	return false
}
