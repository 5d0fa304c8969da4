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
	// maxCheckBytes bounds the response to the check.
	maxCheckBytes = 64 << 10
)

// EndpointFinding is what a check has found about an endpoint.
type EndpointFinding string

// The findings.
const (
	// FoundSame means that the incarnation answers that got the request.
	FoundSame EndpointFinding = "same_incarnation"
	// FoundOther means that another incarnation, or another endpoint, answers at the address.
	FoundOther EndpointFinding = "other_incarnation"
	// foundRefused means that nothing listens at the address.
	foundRefused EndpointFinding = "refused"
	// foundClosed means that a connection was accepted and ended without an answer, as it does between the end of a process and that
	// of its listener.
	foundClosed EndpointFinding = "closed"
	// foundSilent means that there was no answer in time.
	foundSilent EndpointFinding = "no_answer"
	// FoundRejected means that the endpoint is too busy to answer. One that has just started is not.
	FoundRejected EndpointFinding = "rejected"
	// foundAccepts means that a connection was accepted and stayed open, and that nothing more could be asked.
	foundAccepts EndpointFinding = "accepts"
	// foundWitnessClosed means that a connection that was opened during the response has ended without an answer: its process has ended.
	foundWitnessClosed EndpointFinding = "witness_closed"
	// foundNoEvent means that a stream has ended without an event, perhaps right after its head, and that nothing was asked.
	foundNoEvent EndpointFinding = "no_event"
	// foundPaused means that this instance has paused during the attempt, so that a successor under the same id may answer, and that the
	// answer would state only the id.
	foundPaused EndpointFinding = "instance_paused"
	// foundMemoryLost means that memory that the endpoint or its helpers had reserved for the request may have been freed.
	foundMemoryLost EndpointFinding = "memory_lost"
)

// isAlive reports whether the incarnation that got the request still runs.
func (f EndpointFinding) isAlive() bool {
	return f == FoundSame || f == FoundRejected || f == foundAccepts
}

// hasEnded reports whether the incarnation that got the request has ended.
func (f EndpointFinding) hasEnded() bool { return f == FoundOther || f == foundRefused }

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

// checkEnd checks the endpoint of a response and those with reserved memory. A plain endpoint is asked on the witness of the attempt if there
// is one, because its health response states only an id, which a successor may have too.
func (x *exchange) checkEnd(ctx context.Context, e *fleet.Endpoint, r *relay) EndpointFinding {
	if finding, known := x.checkWitness(ctx, e, r.witness); known {
		return finding
	}
	if !x.handler.options.Protocol.StatesIncarnation(e, x.service) && x.handler.options.Pauses.PausedSince(r.began) {
		return foundPaused
	}
	return x.checkAll(ctx, e, r.reserved)
}

// checkAll checks an endpoint and those with reserved memory at the same time. It returns the finding about one that is not alive, if
// there is one.
func (x *exchange) checkAll(ctx context.Context, e *fleet.Endpoint, reserved *reservationSet) EndpointFinding {
	endpoints := []*fleet.Endpoint{e}
	for _, l := range reserved.leases {
		if l.Endpoint != e {
			endpoints = append(endpoints, l.Endpoint)
		}
	}
	findings := make(chan EndpointFinding, len(endpoints))
	for _, e := range endpoints {
		go func() {
			finding := foundSilent
			x.handler.panics.Recover("check of an endpoint", func() { finding = x.checkEndpoint(ctx, e) })
			findings <- finding
		}()
	}
	worst := FoundSame
	for range endpoints {
		if f := <-findings; worst.isAlive() {
			worst = f
		}
	}
	return worst
}

// checkEndpoint asks at the address of an endpoint which incarnation answers there. An endpoint that has requested a back-off gets no
// request.
func (x *exchange) checkEndpoint(ctx context.Context, e *fleet.Endpoint) EndpointFinding {
	target := x.handler.options.Protocol.IncarnationTarget(e, x.service)
	timeout := plainCheckTimeout
	if x.service.Engine != nil {
		timeout = engineCheckTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if target == "" || x.handler.options.Health.BackOffLeft(e.Key(), time.Now()) > 0 {
		return x.checkAccepts(ctx, e)
	}
	response, err := x.handler.options.Client.Fetch(ctx, engine.Request{
		Method: http.MethodGet, Target: target, Address: e.Address, Alone: true,
	}, maxCheckBytes)
	var timedOut net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		x.handler.observeRefused(e, err)
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
		x.handler.observeRefused(e, err)
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
