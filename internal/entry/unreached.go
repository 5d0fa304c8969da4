package entry

import (
	"errors"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

// unreachedEndpoints holds the endpoints that were not reached, although nothing shows that they have ended. A packet may have been
// lost, or the connection was not established in time on a busy machine.
type unreachedEndpoints struct {
	ids []string
	// areRetried is true once they may be chosen again, which they may once for each request.
	areRetried bool
}

// handleUnreached handles an attempt in which nothing was sent to the endpoint. It returns true if the call is to be retried.
func (x *exchange) handleUnreached(e *fleet.Endpoint, r *relay, err error) bool {
	x.logUnreached(e, clock.Boot()-r.began, err)
	x.handler.observeDialError(e, err)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		x.unreached.ids = append(x.unreached.ids, e.ID)
	}
	if x.handler.options.Health.Unreachable(e.Key(), time.Now()) {
		x.logSuspect(e, err.Error())
	}
	x.pace.fail()
	x.unreachable++
	if x.unreachable <= maxUnreachable {
		return true
	}
	x.finishFailed()
	return false
}

// retriesUnreached lets the endpoints that were not reached be chosen again if the call was refused because no other one is left, and
// reports whether it does.
func (x *exchange) retriesUnreached(refusal *placement.Refusal) bool {
	if refusal.Reason != placement.NoEndpoint || len(x.unreached.ids) == 0 || x.unreached.areRetried {
		return false
	}
	for _, id := range x.unreached.ids {
		delete(x.tried, id)
	}
	x.unreached.areRetried = true
	return true
}
