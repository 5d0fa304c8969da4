package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// maxUnreachable bounds the endpoints to which one request could not be sent.
	maxUnreachable = 3
	// notRunRetryAfter is the advised delay if endpoints refused the request.
	notRunRetryAfter = 150 * time.Millisecond
)

// errWithdrawn means that an endpoint was withdrawn between placement and sending.
var errWithdrawn = errors.New("the endpoint was withdrawn")

// exchange is one call from its arrival to its answer.
type exchange struct {
	handler  *Handler
	call     *Call
	w        http.ResponseWriter
	received time.Time

	catalog    *fleet.Catalog
	catalogAge time.Duration
	profile    *fleet.Profile
	service    *fleet.Service
	team       fleet.Team
	// limit is the time of the call from its arrival.
	limit time.Duration

	// tried holds the ids of endpoints that are not chosen again.
	tried       map[string]bool
	sent        int
	unreachable int
	// mayHaveRun is true once an endpoint may have run the call.
	mayHaveRun bool
	// answer is a failure that an endpoint returned whole; it is passed on if no other attempt succeeds.
	answer *relay
	// events is the state of a stream across attempts; started is true once its head was sent to the caller.
	events  events
	started bool
	firstAt time.Time
}

// run admits the call, and sends it to endpoints until one answers or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	x.handler.options.Metrics.Received()
	if refusal := x.admit(); refusal != nil {
		x.end(refusal)
		return
	}
	x.tried = make(map[string]bool)
	x.handler.options.Retries.Request(x.service.Name, x.received)
	ctx, cancel := context.WithDeadline(ctx, x.received.Add(x.limit))
	defer cancel()
	for x.attempt(ctx) {
		x.handler.options.Metrics.Repeated()
	}
}

// attempt places the call and sends it to an endpoint. It returns true if another attempt is to follow.
func (x *exchange) attempt(ctx context.Context) bool {
	choice, refusal := x.place(ctx)
	if refusal != nil {
		x.giveUp(ctx, refusal)
		return false
	}
	now := time.Now()
	first := choice.First
	if !x.takeCold(first, now) {
		x.tried[first.ID] = true
		return true
	}
	x.logPlaced(choice)
	holding := x.handler.options.Book.Place(x.work(choice), now)
	defer holding.End()
	reserved, err := x.reserve(ctx, choice.Holdings)
	if err != nil {
		return x.judgeNotReserved(ctx, choice, err)
	}
	defer reserved.release()
	r := &relay{x: x}
	r.onFirst = func() {
		holding.Read()
		if x.firstAt.IsZero() {
			x.firstAt = time.Now()
		}
	}
	err = x.handler.options.Client.Do(ctx, x.request(choice, reserved.tickets), func() error { return x.stillUsable(first) }, r)
	return x.judge(ctx, first, r, err)
}

// work describes the placed call to the other instances.
func (x *exchange) work(choice placement.Choice) load.Work {
	w := load.Work{
		First: choice.First, Helpers: choice.Helpers, Tokens: x.call.PromptTokens + x.call.MaxOutput,
		Part: choice.Part, Predicted: choice.Predicted, MaxPause: x.profile.MaxPause,
		Held: make(map[*fleet.Endpoint]int64, len(choice.Holdings)),
	}
	for _, h := range choice.Holdings {
		w.Held[h.Endpoint] = h.Tokens
		w.Tokens = max(w.Tokens-h.Tokens, 0)
	}
	return w
}

// judgeNotReserved handles an attempt that failed before the request was sent, because an endpoint had no memory left.
func (x *exchange) judgeNotReserved(ctx context.Context, choice placement.Choice, err error) bool {
	for _, h := range choice.Holdings {
		x.tried[h.Endpoint.ID] = true
	}
	x.logRepeat(choice.First, err.Error(), true)
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

// request builds the request to an endpoint. A request that must not run twice gets a connection of its own, because the
// fate of one that crosses the close of an idle connection is not known.
func (x *exchange) request(choice placement.Choice, tickets []Ticket) engine.Request {
	return engine.Request{
		Method:  x.call.Method,
		Target:  x.call.Target,
		Host:    x.call.Host,
		Address: choice.First.Address,
		Body:    x.call.Body,
		Fresh:   x.profile.Kind == fleet.NonIdempotent,
		Header: x.handler.options.Dialect.Header(x.call, Delivery{
			Endpoint:   choice.First,
			Helpers:    choice.Helpers,
			Tickets:    tickets,
			Team:       x.team.Name,
			Left:       time.Until(x.received.Add(x.limit)),
			AfterEvent: x.events.lastID,
		}),
	}
}

// stillUsable is the last check before the first byte is sent.
func (x *exchange) stillUsable(e *fleet.Endpoint) error {
	snapshot := x.handler.options.State.Snapshot()
	current := x.handler.options.State.Endpoint(e.ID)
	if current == nil || current.Started != e.Started || current.Leaving || snapshot.OutOfService[e.Domain] {
		return errWithdrawn
	}
	x.sent++
	return nil
}

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
	}
	return x.judgeWhole(e, r)
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
	if x.profile.Repeatable() && x.mayRepeat(e, reason) {
		return true
	}
	x.finishFailed()
	return false
}

// judgeNotRun handles a typed refusal of an endpoint.
func (x *exchange) judgeNotRun(e *fleet.Endpoint, r *relay) bool {
	culprit := x.culprit(r.judgement.Culprit)
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
	if x.profile.Repeatable() && x.mayRepeat(e, "status "+strconv.Itoa(r.status)) {
		return true
	}
	x.finishFailed()
	return false
}

// mayRepeat reports whether the profile and the retry budget allow another attempt.
func (x *exchange) mayRepeat(e *fleet.Endpoint, reason string) bool {
	allowed := x.sent < x.profile.Attempts && x.handler.options.Retries.Take(x.service.Name, time.Now())
	x.logRepeat(e, reason, allowed)
	return allowed
}

// sendEvents passes whole events to the caller.
func (x *exchange) sendEvents(header http.Header, whole []byte) error {
	if !x.started {
		x.started = true
		copyHeader(x.w.Header(), header)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(http.StatusOK)
	}
	if _, err := x.w.Write(whole); err != nil {
		return err
	}
	if flusher, ok := x.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return httpserver.WriteError(x.w)
}

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
	case x.answer != nil && x.mayPass(x.answer.status):
		if err := x.answer.sendWhole(x.w); err != nil {
			x.abort("caller_write_failed")
			return
		}
		x.logEnd("passed_on", x.answer.status, "")
	case x.mayHaveRun:
		x.end(failed(http.StatusBadGateway, outcome.StagePrefill, codeEndpointFailed, "the endpoint failed", x.profile.Repeatable()))
	default:
		x.end(refuseUnavailable(outcome.StageConnect, codeNotRun, "no endpoint took the request", notRunRetryAfter))
	}
}

// mayPass reports whether a failure status of an endpoint may be passed on. Callers read 503 as "not run", which holds
// only if the endpoint said so.
func (x *exchange) mayPass(status int) bool {
	return status != http.StatusServiceUnavailable || x.profile.Repeatable()
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
		x.end(failed(http.StatusGatewayTimeout, outcome.StagePrefill, codeTimeLimit, "the time of the request is over", x.profile.Repeatable()))
	default:
		x.end(refuseUnavailable(outcome.StageAdmission, codeTimeLimit, "the time of the request is over", notRunRetryAfter))
	}
}

// end answers the call with an error of this instance.
func (x *exchange) end(e *outcome.Error) {
	e.RequestID = x.call.ID
	x.handler.options.Dialect.MarkCall(x.call.ID, x.w.Header())
	e.WriteMillisecondsTo(x.w)
	x.logEnd(string(e.Outcome), e.Status, e.Code)
}

// abort resets the caller's connection, so that a cut answer cannot look whole.
func (x *exchange) abort(code string) {
	httpserver.Abort(x.w)
	x.logEnd("cut", 0, code)
}
