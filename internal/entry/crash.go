package entry

import (
	"context"
	"errors"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
)

// crashCheckTimeout bounds the time of a connection that is opened to find out whether an endpoint has crashed.
const crashCheckTimeout = 250 * time.Millisecond

// checkCrash reports whether an attempt has ended because the endpoint crashed before the first event arrived. A connection
// that ends early has other causes too, for example a faulty response or a reset on the way. The endpoint has crashed only if
// it refuses a new connection right after that. An endpoint that was leaving may have ended as planned.
func (x *exchange) checkCrash(ctx context.Context, e *fleet.Endpoint, r *relay, err error) bool {
	if len(x.call.SharedParts) == 0 || x.events.count > x.eventsBefore || !endedByEndpoint(r, err) || x.isLeaving(e) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if !x.handler.options.Client.Refuses(ctx, e.Address) {
		return false
	}
	x.handler.options.Metrics.EndpointCrashed()
	x.logCrash(e, r.classified)
	return true
}

// endedByEndpoint reports whether the endpoint closed or reset the connection of a request before the response was complete.
// A stream without any event has no end of its own: if the response has no length, its end and that of the connection look
// the same.
func endedByEndpoint(r *relay, err error) bool {
	var failure *engine.Error
	if errors.As(err, &failure) {
		return failure.BytesSent && errors.Is(err, engine.ErrIncomplete)
	}
	return err == nil && r.streaming
}

// isLeaving reports whether the endpoint has announced its end or is no longer published.
func (x *exchange) isLeaving(e *fleet.Endpoint) bool {
	current := x.handler.options.State.Endpoint(e.ID)
	return current == nil || current.Started != e.Started || current.Leaving
}
