package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
)

const (
	// engineCheckTimeout bounds the time in which a model endpoint answers which incarnation it is. That needs no slot.
	engineCheckTimeout = 250 * time.Millisecond
	// plainCheckTimeout is the same for a plain endpoint, whose health check waits for a slot like any request.
	plainCheckTimeout = time.Second
	// acceptedStay is how long a connection must stay open to show that its process lives, where nothing may be asked on it. The
	// listener of a killed process closes a little later than its connections, and the connections that it has accepted with it.
	acceptedStay = 150 * time.Millisecond
	// maxEndDelay is the longest time from the arrival of the last data of a response to the notice of its end within which no successor of
	// the endpoint starts. If it was longer and no witness was established in it, this instance stood still, or did not reach the endpoint.
	maxEndDelay = 250 * time.Millisecond
	// maxCheckBytes bounds the response to the check.
	maxCheckBytes = 64 << 10
)

// unconfirmedEndError means that a response without length and chunks has ended with its connection, and that it is not known to be
// complete.
type unconfirmedEndError struct {
	finding EndpointFinding
}

// Error implements the error interface.
func (e *unconfirmedEndError) Error() string {
	return "the end of a response without length was not confirmed: " + string(e.finding)
}

// confirmEnd returns an error unless a response that has ended with its connection is complete. The kernel of a killed endpoint closes
// the connection too, another process may listen at its address at once, and nothing may answer there. The end therefore counts only
// if the same incarnation answers after it, at the endpoint and at those that hold memory for the request.
func (x *exchange) confirmEnd(ctx context.Context, e *fleet.Endpoint, r *relay) error {
	began := time.Now()
	finding := foundNoEvent
	switch {
	case r.reserved.mayHaveLapsed():
		finding = foundMemoryLost
	case !r.streaming || x.attemptEvents() > 0:
		finding = x.checkEnd(ctx, e, r)
	}
	x.logResponseEnd(e, r, finding, time.Since(began))
	if finding.isAlive() {
		return nil
	}
	return &unconfirmedEndError{finding: finding}
}

// checkEnd checks the endpoint of a response and those that hold memory for it at the same time. It returns the finding about one that is
// not alive, if there is one.
func (x *exchange) checkEnd(ctx context.Context, e *fleet.Endpoint, r *relay) EndpointFinding {
	checks := []func() EndpointFinding{func() EndpointFinding { return x.checkResponding(ctx, e, r) }}
	for _, l := range r.reserved.leases {
		checks = append(checks, func() EndpointFinding { return x.checkHolder(ctx, l) })
	}
	findings := make(chan EndpointFinding, len(checks))
	for _, check := range checks {
		go func() {
			finding := foundSilent
			x.handler.panics.Recover("check of an endpoint", func() { finding = check() })
			findings <- finding
		}()
	}
	worst := FoundSame
	for range checks {
		if f := <-findings; worst.isAlive() {
			worst = f
		}
	}
	return worst
}

// checkResponding checks the endpoint of a response. It is asked on the witness of the attempt if there is one, because an answer that states only an
// id may be that of a successor.
func (x *exchange) checkResponding(ctx context.Context, e *fleet.Endpoint, r *relay) EndpointFinding {
	if finding, known := x.checkWitness(ctx, e, r.witness); known {
		return finding
	}
	namesStart := x.handler.options.Protocol.StatesIncarnation(e, x.service) && x.mayAsk(e)
	hasPaused := r.sinceData > maxEndDelay || x.handler.options.Pauses.PausedSince(r.began)
	if !namesStart && hasPaused {
		return foundPaused
	}
	return x.checkEndpoint(ctx, e)
}

// checkHolder checks an endpoint that holds memory for a request. In a back-off, the memory is released, as it is at every end of an
// attempt: the response shows whether the process that reserved it still runs. An accepted connection shows nothing, because the
// endpoint of the response notices the end of a holder only after some time, in which a successor may have started.
func (x *exchange) checkHolder(ctx context.Context, l *memoryLease) EndpointFinding {
	if x.mayAsk(l.Endpoint) {
		return x.checkEndpoint(ctx, l.Endpoint)
	}
	if err := x.releaseMemory(ctx, l); err != nil || !l.link.isIntact() {
		return foundUnasked
	}
	return FoundSame
}

// mayAsk reports whether an endpoint may be asked which incarnation it is.
func (x *exchange) mayAsk(e *fleet.Endpoint) bool {
	return x.handler.options.Protocol.IncarnationTarget(e, x.service) != "" && x.handler.options.Health.BackOffLeft(e.Key(), time.Now()) == 0
}

// checkEndpoint asks at the address of an endpoint which incarnation answers there. An endpoint that has requested a back-off gets no
// request.
func (x *exchange) checkEndpoint(ctx context.Context, e *fleet.Endpoint) EndpointFinding {
	timeout := plainCheckTimeout
	if x.service.Engine != nil {
		timeout = engineCheckTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !x.mayAsk(e) {
		return x.checkAccepts(ctx, e)
	}
	target := x.handler.options.Protocol.IncarnationTarget(e, x.service)
	response, err := x.handler.options.Client.Fetch(ctx, engine.Request{
		Method: http.MethodGet, Target: target, Address: e.Address, Alone: true,
	}, maxCheckBytes)
	var timedOut net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		x.handler.observeDialError(e, err)
		return foundRefused
	case ctx.Err() != nil, errors.As(err, &timedOut) && timedOut.Timeout():
		return foundSilent
	case err != nil:
		return foundClosed
	}
	return x.handler.options.Protocol.Incarnation(e, x.service, response)
}

// checkAccepts checks an endpoint that may not be asked by a new connection.
func (x *exchange) checkAccepts(ctx context.Context, e *fleet.Endpoint) EndpointFinding {
	conn, err := x.handler.options.Client.OpenWitness(ctx, e.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		x.handler.observeDialError(e, err)
		return foundRefused
	case err != nil:
		return foundSilent
	}
	defer conn.Close()
	if !staysOpen(ctx, conn) {
		return foundClosed
	}
	return foundAccepts
}

// staysOpen reports whether a connection on which nothing is sent is still open after acceptedStay.
func staysOpen(ctx context.Context, conn *engine.Witness) bool {
	timer := time.NewTimer(acceptedStay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return conn.IsOpen()
	}
}
