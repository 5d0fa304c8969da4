package entry

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
)

// isCold reports whether an endpoint is in cold start: by its entry, or because it has refused connections or accepted none in time, so that
// what listens at its address may have just started. The entry is that of the earlier incarnation as long as the store is unavailable.
func (h *Handler) isCold(service *fleet.Service, e *fleet.Endpoint, now time.Time) bool {
	return service.ColdRate > 0 && (e.IsCold(now) || h.options.Health.MayBeCold(e.Key(), h.isStateCurrent(), now))
}

// maxCurrentAge is the age of the last confirmation up to which the state counts as current. Confirmations arrive at least every 2.5 s.
const maxCurrentAge = 3 * time.Second

// isStateCurrent reports whether the state was recently confirmed as the newest one that was published.
func (h *Handler) isStateCurrent() bool {
	return clock.Boot()-h.options.State.Confirmed().At < maxCurrentAge
}

// observeDialError records that an endpoint has refused a connection, or that none was established in time.
func (h *Handler) observeDialError(e *fleet.Endpoint, err error) {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		h.options.Health.Refused(e.Key(), time.Now())
	case errors.As(err, &timeout) && timeout.Timeout():
		h.options.Health.Silent(e.Key(), time.Now())
	}
}

// minSilence is the time without an answer from which a plain endpoint may have been dark. Its work takes a fraction of that.
const minSilence = 500 * time.Millisecond

// observeUnanswered records that a plain endpoint has not answered a request until the call ended. A model endpoint answers nothing during the
// prefill of a long prompt.
func (x *exchange) observeUnanswered(e *fleet.Endpoint, r *relay) {
	if x.service.Engine == nil && !r.sentAt.IsZero() && !r.classified && time.Since(r.sentAt) >= minSilence {
		x.handler.options.Health.Silent(e.Key(), time.Now())
	}
}

// takeColdStart counts a request to an endpoint in cold start against the endpoint's limit and reports whether it may be
// sent. Requests that a scheduler has placed are already counted by the scheduler, unless it takes the endpoint for warm.
func (x *exchange) takeColdStart(p *attemptPlacement, now time.Time) bool {
	if !x.handler.isCold(x.service, p.Primary, now) || p.schedulerPlacement != nil && p.Primary.IsCold(now) {
		return true
	}
	return x.handler.options.ColdLimiter.Take(p.Primary.Key(), x.service.ColdRate, now)
}

// isColdGrantExpired reports whether a scheduler placed the request on an endpoint in cold start more than MaxGrantAge ago.
// The request could then reach the endpoint in another second than the one in which the scheduler counted it.
func (x *exchange) isColdGrantExpired(p *attemptPlacement) bool {
	isCold := x.service.ColdRate > 0 && p.Primary.IsCold(time.Now())
	return isCold && p.schedulerPlacement != nil && clock.Boot()-p.requestedAt > limit.MaxGrantAge
}

// avoidsCold reports whether a scheduler must not choose an endpoint that it may take for warm, because this instance knows that
// it may be cold and has no share of its limit left.
func (x *exchange) avoidsCold(e *fleet.Endpoint, now time.Time) bool {
	h := x.handler
	return h.isCold(x.service, e, now) && !e.IsCold(now) && !h.options.ColdLimiter.Allows(e.Key(), x.service.ColdRate, now)
}
