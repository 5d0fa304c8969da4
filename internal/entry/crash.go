package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/quarantine"
)

const (
	// crashCheckTimeout bounds the time in which it is found out whether an endpoint has crashed.
	crashCheckTimeout = 250 * time.Millisecond
	// crashCheckInterval is the time between two attempts to find out.
	crashCheckInterval = 10 * time.Millisecond
)

// quarantineError is the cause of a context that ends because a part of the prompt is in quarantine.
type quarantineError struct {
	part quarantine.Part
	// left is the remaining time of the quarantine.
	left time.Duration
}

// Error implements the error interface.
func (e *quarantineError) Error() string {
	return "endpoints crash under part " + e.part.String() + " of the prompt"
}

// partsWatch watches the parts of a prompt while a call waits for an endpoint or for the first event of one. The zero value watches
// nothing.
type partsWatch struct {
	start func(now time.Time) (stop func())
	stop  func()
}

// pause ends the watch at the first event of an attempt: a stream that has begun is not ended.
func (w *partsWatch) pause() {
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
}

// resume begins the watch again for a retry.
func (w *partsWatch) resume() {
	if w.start != nil && w.stop == nil {
		w.stop = w.start(time.Now())
	}
}

// watchParts returns a context that ends once the parts of the prompt are in quarantine and watched.
func (x *exchange) watchParts(ctx context.Context) (watched context.Context, cancel func()) {
	if x.call.Prompt.IsEmpty() {
		return ctx, func() {}
	}
	watched, cancelCause := context.WithCancelCause(ctx)
	x.watch.start = func(now time.Time) func() {
		stop, trial := x.handler.options.Quarantine.Watch(x.call.Prompt, now,
			func(part quarantine.Part, left time.Duration) { cancelCause(&quarantineError{part: part, left: left}) })
		if trial != 0 {
			x.handler.options.Log.Info().Str("request_id", x.call.ID).Str("part", trial.String()).Msg("part_trial")
		}
		return stop
	}
	x.watch.resume()
	return watched, func() {
		x.watch.pause()
		cancelCause(nil)
	}
}

// endQuarantined ends a call whose prompt has a part in quarantine.
func (x *exchange) endQuarantined(e *quarantineError) {
	switch {
	case x.streamStarted:
		x.abort(codePartQuarantined)
	case x.mayHaveRun:
		x.endWithError(unknownOutcome(
			http.StatusBadGateway, outcome.StagePrefill, codePartQuarantined, e.Error(), x.profile.Retryable(),
		))
	default:
		x.endWithError(refuseUnavailable(outcome.StageAdmission, codePartQuarantined, e.Error(), e.left))
	}
}

// observeServed records that endpoints serve requests with the parts of the prompt.
func (x *exchange) observeServed() {
	if !x.call.Prompt.IsEmpty() {
		x.logQuarantine(x.handler.options.Quarantine.ObserveServed(x.call.Prompt, time.Now()))
	}
}

// observeCrash records whether an attempt has ended because the endpoint crashed before the response was established, and reports it.
func (x *exchange) observeCrash(ctx context.Context, e *fleet.Endpoint, r *relay, err error) bool {
	if !x.checkCrash(ctx, e, r, err) {
		return false
	}
	crash := quarantine.Crash{Endpoint: e.Key(), Responding: r.classified, Calls: []uint32{quarantine.CallKey(x.call.ID)}}
	x.handler.options.Metrics.EndpointCrashed()
	x.logCrash(e, crash.Responding, x.attemptEvents())
	x.logQuarantine(x.handler.options.Quarantine.ObserveCrash(x.call.Prompt, crash, time.Now()))
	return true
}

// checkCrash reports whether an attempt has ended because the endpoint crashed before the response was established. A connection
// that ends early has other causes too, for example a faulty response or a reset on the way. The endpoint has crashed only if
// nothing listens at its address right after that, or another incarnation. An endpoint that was leaving may have ended as planned. A
// request that ends because of a quarantine may have been at the crash that began it; other requests there have then recorded the crash
// earlier.
func (x *exchange) checkCrash(ctx context.Context, e *fleet.Endpoint, r *relay, err error) bool {
	if x.call.Prompt.IsEmpty() || r.isEstablished || x.isLeaving(e) {
		return false
	}
	if !endedByEndpoint(r, err) && !endedByQuarantine(ctx, err) {
		return false
	}
	return x.hasCrashed(context.WithoutCancel(ctx), e)
}

// endedByQuarantine reports whether a request that was sent has ended because of the quarantine of its prompt.
func endedByQuarantine(ctx context.Context, err error) bool {
	var failure *engine.Error
	var quarantined *quarantineError
	return errors.As(context.Cause(ctx), &quarantined) && errors.As(err, &failure) && failure.BytesSent
}

// hasCrashed reports whether the incarnation of an endpoint has ended. Its listener may close a little later than its connections, so that
// a new connection is accepted and closed: then it is asked again.
func (x *exchange) hasCrashed(ctx context.Context, e *fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	for {
		finding := x.checkEndpoint(ctx, e)
		if finding != foundClosed {
			return finding.hasEnded()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(crashCheckInterval):
		}
	}
}

// endedByEndpoint reports whether the endpoint closed or reset the connection of a request before the response was complete. A
// stream without any event may have ended right after its head.
func endedByEndpoint(r *relay, err error) bool {
	var failure *engine.Error
	if errors.As(err, &failure) {
		return failure.BytesSent && errors.Is(err, engine.ErrIncomplete)
	}
	var unconfirmed *unconfirmedEndError
	return r.streaming && (errors.As(err, &unconfirmed) || err == nil && r.x.attemptEvents() == 0)
}

// isLeaving reports whether the endpoint has announced its end or is no longer published.
func (x *exchange) isLeaving(e *fleet.Endpoint) bool {
	current := x.handler.options.State.Endpoint(e.ID)
	return current == nil || current.Started != e.Started || current.Leaving
}
